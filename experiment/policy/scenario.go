package policy

import (
	"time"

	"github.com/wigeonfork/wigeonfork/routing"
)

// chooser is the policy that picks an engine.
type chooser uint8

const (
	byScore chooser = iota
	byRoundRobin
	byLeastOutstanding
)

func (c chooser) String() string {
	return [...]string{"score", "round robin", "least outstanding"}[c]
}

// fault is a failure injected into engines at a time.
type fault struct {
	at       time.Duration
	duration time.Duration
	kind     faultKind
	// engines are the indexes of the engines; empty means a random one.
	engines []int
}

type faultKind uint8

const (
	faultDeath faultKind = iota
	faultSlow
	faultStop
	faultUnresponsive
)

// scenario configures one run.
type scenario struct {
	deployment    deployment
	seed          uint64
	chooser       chooser
	disabledTerms routing.Term
	choices       int
	// load returns the offered load at a time, as a fraction of the capacity.
	load           func(at time.Duration) float64
	capacity       float64 // tokens per second
	warmup, length time.Duration
	unlimited      bool // no admission control
	deathsPerMin   float64
	poisons        []time.Duration // arrivals of requests that crash engines
	faults         []fault
	// tailFrom is the time after an overload from which arrivals are also counted
	// separately; 0 disables that.
	tailFrom time.Duration
	// window is the width of the windows in which goodput is counted.
	window time.Duration
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

func (s *scenario) end() time.Duration { return s.warmup + s.length }
