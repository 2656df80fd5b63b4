// Command soak runs real gateway processes with stand-ins of the users' platform. It injects faults
// from outside and checks the system's guarantees from what callers and backend servers observe.
// All random choices are derived from a seed.
//
//	go run ./test/soak --seeds 50 --parallel 4
//	go run ./test/soak --seeds 50 --orders 3
package main
