package rollout

import (
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
)

// Event is something that a Move is told.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// VerdictUpdated brings the latest verdict on the new version.
type VerdictUpdated struct{ Verdict Verdict }

// StopRequested takes the new version back because an operator asks for it.
type StopRequested struct{ Reason string }

// RecordDone ends a WriteRecord.
type RecordDone struct {
	OperationID string
	Commit      infra.Commit
	Err         error
}

// OrderDone ends a GiveOrder.
type OrderDone struct {
	Server wigeonfork.BackendServerID
	Kind   backend.OrderKind
	Err    error
}

// ServerReport says which versions a backend server holds ready, or that it is
// down.
type ServerReport struct {
	Server wigeonfork.BackendServerID
	Down   bool
	// OldReady and NewReady are of no meaning while Down.
	OldReady bool
	NewReady bool
}

// ServerAdded says that a backend server has joined.
type ServerAdded struct{ Server Server }

func (Tick) event()           {}
func (VerdictUpdated) event() {}
func (StopRequested) event()  {}
func (RecordDone) event()     {}
func (OrderDone) event()      {}
func (ServerReport) event()   {}
func (ServerAdded) event()    {}

// Action is something that a Move asks for.
type Action interface{ action() }

// SetShares asks for the shares to be made known to all entries.
type SetShares struct{ Shares Shares }

// WriteRecord asks for a transaction; exactly one RecordDone must follow.
type WriteRecord struct{ Transaction infra.Transaction }

// SendOrder asks for an order to a backend server; exactly one OrderDone must
// follow. The lease must be asked again just before the order leaves.
type SendOrder struct {
	Server wigeonfork.BackendServerID
	Order  backend.Order
}

func (SetShares) action()   {}
func (WriteRecord) action() {}
func (SendOrder) action()   {}
