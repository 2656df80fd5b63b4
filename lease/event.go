package lease

import (
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

// Event is something that a Holder is told.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// ReadDone ends a Read.
type ReadDone struct {
	Row infra.Row
	Err error
}

// CommitDone ends a Commit. The outcome of Err is read by infra.OutcomeOf.
type CommitDone struct {
	OperationID string
	Commit      infra.Commit
	Err         error
}

// ReleaseRequested makes the holder give the lease back and take it no more.
type ReleaseRequested struct{}

func (Tick) event()             {}
func (ReadDone) event()         {}
func (CommitDone) event()       {}
func (ReleaseRequested) event() {}

// Action is something that a Holder asks for.
type Action interface{ action() }

// Read asks for the lease row; exactly one ReadDone must follow.
type Read struct{ Key string }

// Commit asks for a transaction; exactly one CommitDone must follow.
type Commit struct{ Transaction infra.Transaction }

// Acquired tells that orders may be given with Fencing while Holds says so.
type Acquired struct{ Fencing wigeonfork.FencingNumber }

// Lost tells that no order may be given with Fencing any more.
type Lost struct{ Fencing wigeonfork.FencingNumber }

func (Read) action()     {}
func (Commit) action()   {}
func (Acquired) action() {}
func (Lost) action()     {}
