// Package ledger keeps what one incarnation of an agent knows of the claims
// that were dispatched to it, so that each is run at most once.
//
// A Ledger has no goroutine, clock or I/O and is not safe for concurrent use.
// The time given to it must not go back within one incarnation: use the start
// time plus the monotonic time since then.
//
// A claim is remembered until it expires, and longer while it runs or its
// outcome is not recorded. So an unexpired claim that is not remembered has
// never run, and an expired one has never run or has its outcome in the table.
package ledger

import (
	"time"

	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/backend"
)

// Verdict tells the agent what to do with a dispatch.
type Verdict int

// The verdicts.
const (
	// VerdictRun: run the call now, once; then call Finished.
	VerdictRun Verdict = iota
	// VerdictRunning: the call is under way; wait for its outcome.
	VerdictRunning
	// VerdictDone: the call ended; answer with the decision's Reply.
	VerdictDone
	// VerdictUnknown: answer that the outcome is not known.
	VerdictUnknown
	// VerdictNotRun: answer that the call was not run; it never will be.
	VerdictNotRun
)

// Reason tells why a dispatch is not run.
type Reason string

// The reasons.
const (
	ReasonNone        Reason = ""
	ReasonIncarnation Reason = "other_incarnation"
	ReasonExpired     Reason = "expired"
	ReasonWindow      Reason = "window_too_long"
	ReasonResolved    Reason = "resolved_before"
	ReasonFull        Reason = "ledger_full"
	ReasonDraining    Reason = "draining"
	ReasonLost        Reason = "answer_lost"
)

// Decision is the answer to a dispatch.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Reply   backend.Reply
}

// Outcome is the end of a call that the agent has to record in the table by
// itself. A nil Reply stands for an outcome that is not known.
type Outcome struct {
	Claim action.Claim
	Reply *backend.Reply
}

// Config holds the limits of a Ledger.
type Config struct {
	Incarnation action.Incarnation
	// MaxWindow bounds how far in the future a claim may expire.
	MaxWindow time.Duration
	// RecordDelay is how long a finished call waits for an acknowledgement
	// before the agent records its outcome; at least a millisecond.
	RecordDelay time.Duration
	// MaxClaims bounds the claims that are remembered.
	MaxClaims int
	// MaxReplyBytes bounds the bodies of replies that are kept, in sum.
	MaxReplyBytes int
}

// minRecordDelay keeps the ledger from looking at an entry twice at one time.
const minRecordDelay = time.Millisecond

// DefaultConfig returns the limits for an agent of the given incarnation.
func DefaultConfig(incarnation action.Incarnation) Config {
	return Config{
		Incarnation:   incarnation,
		MaxWindow:     5 * time.Minute,
		RecordDelay:   2 * time.Second,
		MaxClaims:     20_000,
		MaxReplyBytes: 16 << 20,
	}
}

// Ledger is the memory of one incarnation of an agent.
type Ledger struct {
	config      Config
	entries     map[action.ClaimID]*claimEntry
	expiryQueue expiryHeap
	unrecorded  []*claimEntry
	// barredUntil bars every unseen claim that expires no later. It stands for
	// single barred claims when there is no room for them.
	barredUntil time.Time
	replyBytes  int
	draining    bool
}
