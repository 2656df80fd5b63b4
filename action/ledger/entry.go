package ledger

import (
	"time"

	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/backend"
)

type state int

const (
	stateRunning state = iota
	stateDone
	stateUnknown
	stateBarred
)

// claimEntry is the state of one claim.
type claimEntry struct {
	state    state
	claim    action.Claim
	reply    backend.Reply
	recorded bool
	// nextRecordAt is when the agent next tries to record the outcome itself.
	nextRecordAt time.Time
	// pruneAt is when prune next checks the entry.
	pruneAt time.Time
}

// decision returns the answer to a repeated dispatch of the claim.
func (e *claimEntry) decision() Decision {
	switch e.state {
	case stateRunning:
		return Decision{Verdict: VerdictRunning}
	case stateDone:
		return Decision{Verdict: VerdictDone, Reply: e.reply}
	case stateUnknown:
		return Decision{Verdict: VerdictUnknown, Reason: ReasonLost}
	default:
		return Decision{Verdict: VerdictNotRun, Reason: ReasonResolved}
	}
}

// resolution returns the answer to a query about the claim.
func (e *claimEntry) resolution() action.Resolution {
	switch e.state {
	case stateRunning:
		return action.Resolution{State: action.ResolvedRunning}
	case stateDone:
		return action.Resolution{State: action.ResolvedDone, Reply: e.reply}
	case stateUnknown:
		return action.Resolution{State: action.ResolvedUnknown}
	default:
		return action.Resolution{State: action.ResolvedNotRun}
	}
}

// ended reports whether the call has ended, with a known outcome or not.
func (e *claimEntry) ended() bool { return e.state == stateDone || e.state == stateUnknown }

// mustKeep reports whether the entry is needed beyond the claim's expiry.
func (e *claimEntry) mustKeep() bool {
	return e.state == stateRunning || e.ended() && !e.recorded
}

// outcome returns the result of the call.
func (e *claimEntry) outcome() Outcome {
	outcome := Outcome{Claim: e.claim}
	if e.state == stateDone {
		reply := e.reply
		outcome.Reply = &reply
	}
	return outcome
}

// expiryHeap orders entries by pruneAt.
type expiryHeap []*claimEntry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].pruneAt.Before(h[j].pruneAt) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	*h = append(*h, x.(*claimEntry))
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
