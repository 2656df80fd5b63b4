package action

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork/backend"
)

// ResolveQuery asks an agent for the outcome of a claim. The agent bars a claim that it has not
// received yet: the claim can then never run at this incarnation.
type ResolveQuery struct {
	ClaimID     ClaimID     `json:"claim_id"`
	Incarnation Incarnation `json:"incarnation"`
	Expires     time.Time   `json:"expires"`
	// Peek queries the state without barring the claim.
	Peek bool `json:"peek,omitempty"`
}

// ResolutionState is the state of a claim as its agent reports it.
type ResolutionState string

// The states that an agent reports.
const (
	// ResolvedNotRun: the agent has not run the claim and never will.
	ResolvedNotRun ResolutionState = "not_run"
	// ResolvedRunning: the call is in progress.
	ResolvedRunning ResolutionState = "running"
	// ResolvedDone: the call ended with a reply.
	ResolvedDone ResolutionState = "done"
	// ResolvedUnknown: the agent does not know the outcome and never will, because the
	// service's reply was lost or the claim was for an earlier incarnation.
	ResolvedUnknown ResolutionState = "unknown"
	// ResolvedExpired: the claim can no longer run and the agent's ledger does not hold it. Either
	// it never ran, or its outcome is in the table. A write that is conditional on the row still
	// holding the claim distinguishes these cases.
	ResolvedExpired ResolutionState = "expired"
	// ResolvedUnseen: the agent has not received the claim and has not barred it, because the
	// query set Peek or the claim expires too late to be barred.
	ResolvedUnseen ResolutionState = "unseen"
)

// Resolution is an agent's answer to a ResolveQuery. Reply is set in state ResolvedDone.
type Resolution struct {
	State ResolutionState `json:"state"`
	Reply backend.Reply   `json:"reply"`
}

// Dispatcher sends claims from an entry to agents.
//
// Dispatch sends one copy of the call and never retries by itself. An agent that started after
// the claim was made relies on this: when a copy reaches it, no other agent can have run the
// claim. Beware that net/http.Transport retries a request that has an Idempotency-Key header,
// so the header must not be forwarded to the agent. The agent's call to the service must not be
// cancelled when the entry's connection ends. An error proves that the call was not run in two
// cases only: it holds a *problem.Error with RunNot, which the agent sent, or an *infra.Error
// with OutcomeNotDone, which means that no byte was sent to the agent.
//
// Acknowledge notifies the agent that the outcomes of claims are recorded. It may fail
// silently: the agent then records the outcomes itself.
type Dispatcher interface {
	Dispatch(ctx context.Context, claim Claim, call backend.Call) (backend.Reply, error)
	Resolve(ctx context.Context, agentAddress string, query ResolveQuery) (Resolution, error)
	Acknowledge(ctx context.Context, target Target, claims []ClaimID)
}
