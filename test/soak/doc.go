// Command soak runs the gateway's real processes before stand-ins of the users'
// platform, injects faults from outside them and checks the promises from what
// callers and backend servers see. All is drawn from a seed.
//
//	go run ./test/soak -seeds 50 -parallel 4
package main
