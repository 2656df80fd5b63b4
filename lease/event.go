package lease

import (
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

// Event is an input of Holder.Step.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// ReadDone is the result of a Read.
type ReadDone struct {
	Row infra.Row
	Err error
}

// CommitDone is the result of a Commit. infra.OutcomeOf gives the outcome of Err.
type CommitDone struct {
	OperationID string
	Commit      infra.Commit
	Err         error
}

// ReleaseRequested makes the holder release the lease and never acquire it again.
type ReleaseRequested struct{}

func (Tick) event()             {}
func (ReadDone) event()         {}
func (CommitDone) event()       {}
func (ReleaseRequested) event() {}

// Action is an output of Holder.Step.
type Action interface{ action() }

// Read requests a read of the lease row. Exactly one ReadDone must follow.
type Read struct{ Key string }

// Commit requests a transaction. Exactly one CommitDone must follow.
type Commit struct{ Transaction infra.Transaction }

// Acquired reports that orders may be issued with Fencing as long as Holds confirms it.
type Acquired struct{ Fencing wigeonfork.FencingNumber }

// Lost reports that no more orders may be issued with Fencing.
type Lost struct{ Fencing wigeonfork.FencingNumber }

func (Read) action()     {}
func (Commit) action()   {}
func (Acquired) action() {}
func (Lost) action()     {}
