package action

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/looplab/fsm"
)

// Event names a change of an action's state.
type Event string

// The events of an action.
const (
	// EventClaim: a claim is made on a key that has none, or whose claim was
	// proved not to have run.
	EventClaim Event = "claim"
	// EventReplace: a claim proved not to have run is replaced by another in
	// one write.
	EventReplace Event = "replace"
	// EventRelease: a claim is proved not to have run and not to run later.
	EventRelease Event = "release"
	// EventFinish: the service's reply is known.
	EventFinish Event = "finish"
	// EventMarkUnknown: it is certain that the agent does not know the outcome.
	EventMarkUnknown Event = "lose"
)

// lifecycleEvents is the table of events of an action's row.
func lifecycleEvents() fsm.Events {
	return fsm.Events{
		{Name: string(EventClaim), Src: []string{string(StateAbsent), string(StateNotRun)}, Dst: string(StateClaimed)},
		{Name: string(EventReplace), Src: []string{string(StateClaimed)}, Dst: string(StateClaimed)},
		{Name: string(EventRelease), Src: []string{string(StateClaimed)}, Dst: string(StateNotRun)},
		{Name: string(EventFinish), Src: []string{string(StateClaimed), string(StateUnknown)}, Dst: string(StateDone)},
		{Name: string(EventMarkUnknown), Src: []string{string(StateClaimed)}, Dst: string(StateUnknown)},
	}
}

// machinePool holds machines for reuse; building one costs more than an event.
var machinePool = sync.Pool{New: func() any {
	return fsm.NewFSM(string(StateAbsent), lifecycleEvents(), fsm.Callbacks{})
}}

// nextState returns the state that event leads to from state. It fails if the
// event may not happen there.
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
