package rollout

import (
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
)

// Event is an input of Move.Step.
type Event interface{ event() }

// Tick has no content. The move takes the steps that are due.
type Tick struct{}

// VerdictUpdated carries the latest verdict on the new version.
type VerdictUpdated struct{ Verdict Verdict }

// StopRequested requires the move to be reverted, because an operator or an entry has stopped
// the new version.
type StopRequested struct{ Reason string }

// RecordDone reports the result of a WriteRecord.
type RecordDone struct {
	OperationID string
	Commit      infra.Commit
	Err         error
}

// OrderDone reports the result of a SendOrder.
type OrderDone struct {
	Server wigeonfork.BackendServerID
	Kind   backend.OrderKind
	Err    error
}

// ServerReport says which versions a backend server has ready, or that it is down.
type ServerReport struct {
	Server wigeonfork.BackendServerID
	Down   bool
	// OldReady and NewReady are meaningless while Down.
	OldReady bool
	NewReady bool
}

// ServerAdded says that a backend server has joined the move.
type ServerAdded struct{ Server Server }

func (Tick) event()           {}
func (VerdictUpdated) event() {}
func (StopRequested) event()  {}
func (RecordDone) event()     {}
func (OrderDone) event()      {}
func (ServerReport) event()   {}
func (ServerAdded) event()    {}

// Action is an effect that the caller of Move.Step must carry out.
type Action interface{ action() }

// SetShares requires the caller to announce the shares to all entries.
type SetShares struct{ Shares Shares }

// WriteRecord requires the caller to commit a transaction. Exactly one RecordDone must follow.
type WriteRecord struct{ Transaction infra.Transaction }

// SendOrder requires the caller to send an order to a backend server. Exactly one OrderDone must
// follow. The caller must check just before sending that it still holds the lease.
type SendOrder struct {
	Server wigeonfork.BackendServerID
	Order  backend.Order
}

func (SetShares) action()   {}
func (WriteRecord) action() {}
func (SendOrder) action()   {}
