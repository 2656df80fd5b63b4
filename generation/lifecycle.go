package generation

import (
	"context"

	"github.com/looplab/fsm"
)

// The states of the life cycle of an answer.
const (
	StateNew         = "new"
	StateDispatched  = "dispatched"
	StateStreaming   = "streaming"
	StateInterrupted = "interrupted"
	StateComplete    = "complete"
	StateFailed      = "failed"
	StateAbandoned   = "abandoned"
)

// The events of the life cycle of an answer.
const (
	eventDispatch   = "dispatch"
	eventToken      = "token"
	eventSourceLost = "lose"
	eventEnd        = "end"
	eventFail       = "fail"
	eventAbandon    = "abandon"
)

// lifecycleEvents is the transition table of an answer. docs/design/serving.md lists the same
// rows.
var lifecycleEvents = fsm.Events{
	{Name: eventDispatch, Src: []string{StateNew, StateInterrupted}, Dst: StateDispatched},
	{Name: eventToken, Src: []string{StateDispatched}, Dst: StateStreaming},
	{Name: eventSourceLost, Src: []string{StateDispatched, StateStreaming}, Dst: StateInterrupted},
	{Name: eventEnd, Src: []string{StateDispatched, StateStreaming}, Dst: StateComplete},
	{Name: eventFail, Src: []string{StateNew, StateDispatched, StateStreaming, StateInterrupted}, Dst: StateFailed},
	{Name: eventAbandon, Src: []string{StateNew, StateDispatched, StateStreaming, StateInterrupted}, Dst: StateAbandoned},
}

func newLifecycle() *fsm.FSM {
	return fsm.NewFSM(StateNew, lifecycleEvents, fsm.Callbacks{})
}

// fire applies event if the current state allows it. It reports whether it does.
func fire(machine *fsm.FSM, event string) bool {
	return machine.Event(context.Background(), event) == nil
}
