package matrix

import (
	"strings"
	"time"

	"github.com/wigeonfork/wigeonfork/test/process"
)

// stopTimeout bounds the time that a process may take to stop: the drain limit, and a generous time
// to hand over its answers and exit.
const stopTimeout = drainLimit + 30*time.Second

// plannedStop is a stop that was requested.
type plannedStop struct {
	process *process.Process
	role    string
}

// drain asks a process to stop and waits until its drain has started.
func (b *testbed) drain(p *process.Process, role string) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	b.plannedStops = append(b.plannedStops, &plannedStop{process: p, role: role})
	return poll(role+" begins to leave", func() bool { return strings.Contains(p.Log(), "drain_started") })
}

// stopAll asks the running processes to stop. It is called after all answers have ended, so that
// nothing is in progress.
func (b *testbed) stopAll() {
	for _, e := range b.Entries {
		b.stop(e.Process, "entry")
	}
	for _, a := range append(append(b.Agents[:0:0], b.Agents...), b.ServiceAgents...) {
		b.stop(a.Process, "agent")
	}
}

func (b *testbed) stop(p *process.Process, role string) {
	select {
	case <-p.Ended():
		return
	default:
	}
	for _, s := range b.plannedStops {
		if s.process == p {
			return
		}
	}
	if p.Terminate() == nil {
		b.plannedStops = append(b.plannedStops, &plannedStop{process: p, role: role})
	}
}

// plannedStopViolations waits until the planned stops have ended and returns the violations.
func (b *testbed) plannedStopViolations() []string {
	var wrong []string
	limit := time.After(stopTimeout)
	for _, s := range b.plannedStops {
		select {
		case <-s.process.Ended():
		case <-limit:
			wrong = append(wrong, s.role+" has not ended after it was asked to stop")
			continue
		}
		if err := s.process.Err(); err != nil && !b.killed[s.process] {
			wrong = append(wrong, s.role+" asked to stop ended with "+err.Error())
		}
	}
	return wrong
}
