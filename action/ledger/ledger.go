// Package ledger stores which claims were dispatched to one incarnation of an agent and how
// their calls ended, so that each claim is run at most once.
//
// A Ledger has no goroutine, clock or I/O and is not safe for concurrent use. The time passed
// to it must not go back within one incarnation: use the start time plus the monotonic time
// since then.
//
// The ledger entry of a claim is kept until the claim expires, and longer while it runs or while
// its outcome is not recorded. It follows that an unexpired claim without a ledger entry has never
// run, and that an expired claim without one has never run or has its outcome in the table.
//
// To bar a claim means to make sure that it never runs in this incarnation.
package ledger

import (
	"time"

	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/backend"
)

// Verdict is how the agent must handle a dispatch.
type Verdict int

// The verdicts.
const (
	// VerdictRun: run the call now, once; then call Finished or NotRun.
	VerdictRun Verdict = iota
	// VerdictRunning: the call is in progress; wait for its outcome.
	VerdictRunning
	// VerdictDone: the call has ended; answer with the decision's Reply.
	VerdictDone
	// VerdictUnknown: answer that the outcome is unknown.
	VerdictUnknown
	// VerdictNotRun: answer that the call was not run; it never will be.
	VerdictNotRun
)

// Reason is why a dispatch is not run.
type Reason string

// The reasons for not running a dispatch.
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

// Outcome is the result of a call that the agent has to record in the table itself. A nil Reply
// means that the outcome is unknown.
type Outcome struct {
	Claim action.Claim
	Reply *backend.Reply
}

// Config holds the limits of a Ledger.
type Config struct {
	Incarnation action.Incarnation
	// MaxWindow is how far in the future a claim may expire.
	MaxWindow time.Duration
	// RecordDelay is how long after the end of a call the agent waits for an acknowledgement
	// before it records the outcome itself. The minimum is one millisecond.
	RecordDelay time.Duration
	// MaxClaims is the maximum number of ledger entries.
	MaxClaims int
	// MaxReplyBytes limits the total size of the stored reply bodies. New claims are refused
	// while it is reached.
	MaxReplyBytes int
}

// minRecordDelay is the minimum of Config.RecordDelay. With a zero delay, prune would never end
// for a ledger entry that must be kept, because it would check the entry again at the same time.
const minRecordDelay = time.Millisecond

// DefaultConfig returns the default limits for an agent of the given incarnation.
func DefaultConfig(incarnation action.Incarnation) Config {
	return Config{
		Incarnation:   incarnation,
		MaxWindow:     5 * time.Minute,
		RecordDelay:   2 * time.Second,
		MaxClaims:     20_000,
		MaxReplyBytes: 16 << 20,
	}
}

// Ledger stores the claims that were dispatched to one incarnation of an agent.
type Ledger struct {
	config      Config
	entries     map[action.ClaimID]*claimEntry
	expiryQueue expiryHeap
	unrecorded  []*claimEntry
	// barredUntil bars every claim without a ledger entry that expires no later. It is used in
	// place of one barred ledger entry per claim when the ledger is full.
	barredUntil time.Time
	replyBytes  int
	draining    bool
}
