package action

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/looplab/fsm"
)

// Event is the name of a state transition of an action.
type Event string

// The events of an action.
const (
	// EventClaim: a claim is made on a key without a claim, or whose last claim was proved not
	// to have run.
	EventClaim Event = "claim"
	// EventReplace: a claim that was proved not to have run is replaced by another one in a
	// single write.
	EventReplace Event = "replace"
	// EventRelease: the claim is proved not to have run and can no longer run.
	EventRelease Event = "release"
	// EventFinish: the service's reply is known.
	EventFinish Event = "finish"
	// EventMarkUnknown: the agent does not know the outcome and never will.
	EventMarkUnknown Event = "lose"
)

// lifecycleEvents is the transition table of an action's row.
func lifecycleEvents() fsm.Events {
	return fsm.Events{
		{Name: string(EventClaim), Src: []string{string(StateAbsent), string(StateNotRun)}, Dst: string(StateClaimed)},
		{Name: string(EventReplace), Src: []string{string(StateClaimed)}, Dst: string(StateClaimed)},
		{Name: string(EventRelease), Src: []string{string(StateClaimed)}, Dst: string(StateNotRun)},
		{Name: string(EventFinish), Src: []string{string(StateClaimed), string(StateUnknown)}, Dst: string(StateDone)},
		{Name: string(EventMarkUnknown), Src: []string{string(StateClaimed)}, Dst: string(StateUnknown)},
	}
}

// machinePool reuses state machines, since building one costs more than an event.
var machinePool = sync.Pool{New: func() any {
	return fsm.NewFSM(string(StateAbsent), lifecycleEvents(), fsm.Callbacks{})
}}

// nextState returns the state that event leads to. It fails if event is not allowed in state.
func nextState(state State, event Event) (State, error) {
	machine := machinePool.Get().(*fsm.FSM)
	defer machinePool.Put(machine)
	machine.SetState(string(state))
	err := machine.Event(context.Background(), string(event))
	var noTransition fsm.NoTransitionError
	if err != nil && !errors.As(err, &noTransition) {
		return state, errors.Wrapf(err, "action in state %s", state)
	}
	return State(machine.Current()), nil
}
