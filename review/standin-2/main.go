//go:build review

// Command standin-2 holds the stand-ins of the review cases that are scripts: a runner as a process of its own, and a
// driver that plays the store, the operator and the callers, and starts the gateways.
package main

import (
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 runner|severed|foreign|crowded")
		os.Exit(exitNotRun)
	}
	switch os.Args[1] {
	case "runner":
		serveRunner(os.Args[2:])
	case "severed":
		os.Exit(runCase(playSevered))
	case "crowded":
		os.Exit(runCase(playCrowded))
	case "foreign":
		os.Exit(runCase(playForeign))
	}
	os.Exit(exitNotRun)
}
