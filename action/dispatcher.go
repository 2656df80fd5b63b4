package action

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork/backend"
)

// ResolveQuery asks an agent what became of a claim.
type ResolveQuery struct {
	ClaimID     ClaimID     `json:"claim_id"`
	Incarnation Incarnation `json:"incarnation"`
	Expires     time.Time   `json:"expires"`
	// Peek asks without barring a claim that the agent has not seen yet.
	Peek bool `json:"peek,omitempty"`
}

// ResolutionState is what an agent knows of a claim.
type ResolutionState string

// The resolutions.
const (
	// ResolvedNotRun: the agent has not run the claim and never will.
	ResolvedNotRun ResolutionState = "not_run"
	// ResolvedRunning: the call is under way.
	ResolvedRunning ResolutionState = "running"
	// ResolvedDone: the call ended with a reply.
	ResolvedDone ResolutionState = "done"
	// ResolvedUnknown: the agent does not know, and never will: the service's
	// answer was lost, or the claim was for an earlier incarnation.
	ResolvedUnknown ResolutionState = "unknown"
	// ResolvedExpired: the claim can no longer run, and the agent remembers
	// nothing of it. Either it never ran, or its outcome is in the table: a
	// write on the row that still holds the claim tells which.
	ResolvedExpired ResolutionState = "expired"
	// ResolvedUnseen: the agent has not seen the claim yet; after Peek, or if
	// the claim expires too late to be barred.
	ResolvedUnseen ResolutionState = "unseen"
)

// Resolution is an agent's answer about a claim. Reply is set in state
// ResolvedDone.
type Resolution struct {
	State ResolutionState `json:"state"`
	Reply backend.Reply   `json:"reply"`
}

// Dispatcher carries claims from an entry to agents.
//
// Dispatch sends one copy of the call and never repeats it by itself: an agent
// that did not exist yet when the claim was made takes a copy that reaches it
// as proof that no other agent has run it. Mind
// that net/http.Transport repeats a request that has an Idempotency-Key
// header; the header must not travel to the agent. The call that the agent
// makes must not end with the entry's connection. An error proves that the
// call was not run only if it holds a *problem.Error with RunNot, which the
// agent sent, or a *infra.Error with OutcomeNotDone, which says that no
// byte left for the agent.
//
// Acknowledge tells the agent that the outcomes of claims are recorded. It may
// fail silently: the agent then records the outcome itself.
type Dispatcher interface {
	Dispatch(ctx context.Context, claim Claim, call backend.Call) (backend.Reply, error)
	Resolve(ctx context.Context, agentAddress string, query ResolveQuery) (Resolution, error)
	Acknowledge(ctx context.Context, target Target, claims []ClaimID)
}
