package quarantine

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// ContentHash identifies the content of a request: where it goes, on whose behalf, and its body.
type ContentHash uint64

// ServerStart identifies one start of a backend server. Born is its Unix millisecond, or 0 if it is
// not known.
type ServerStart struct {
	ID   wigeonfork.BackendServerID `cbor:"1,keyasint"`
	Born int64                      `cbor:"2,keyasint,omitempty"`
}

// maySame reports whether two starts may be the same one. A start that is not known may be any.
func (s ServerStart) maySame(other ServerStart) bool {
	return s.ID == other.ID && (s.Born == other.Born || s.Born == 0 || other.Born == 0)
}

// Crash is the loss of a backend server while it ran a request.
type Crash struct {
	Content ContentHash
	Server  ServerStart
	// Began is when the run began, and At when it was lost.
	Began, At time.Time
	// Begun is set if the run had begun to answer, and Trial if it was a trial.
	Begun, Trial bool
}

// sameLoss reports whether two crashes are the same loss of a server. One start is lost once. If a start is not
// known, runs that don't overlap were at different ones.
func (c *Crash) sameLoss(other *Crash) bool {
	if !c.Server.maySame(other.Server) {
		return false
	}
	if c.Server.Born != 0 && other.Server.Born != 0 {
		return true
	}
	return !c.Began.After(other.At.Add(reportTolerance)) && !other.Began.After(c.At.Add(reportTolerance))
}

// Loss is the end of a run without a complete answer.
type Loss struct {
	Crash
	// Confirmed is set if the server is known to be lost, and Counted if that is put down to the request.
	Confirmed, Counted bool
}

// Quarantine is a quarantined request. Since is the time of the crash that reached the limit.
type Quarantine struct {
	Content ContentHash
	Since   time.Time
}

// Completion is a complete run of a request. It proves that the request does not crash servers, so
// earlier crashes no longer count.
type Completion struct {
	Content ContentHash
	At      time.Time
}

// Outcome says whether a lost run counts as a crash of its server by the request.
type Outcome uint8

// The outcomes.
const (
	// CrashCounted: the server was lost during the run, and no other cause is known.
	CrashCounted Outcome = iota
	// ServerResponds: the server was not lost.
	ServerResponds
	// LostBefore: the server was lost before the run began.
	LostBefore
	// LostWithOthers: the server was lost together with others of its failure domain.
	LostWithOthers
)

var outcomeNames = [...]string{"counted", "server_responds", "lost_before", "lost_with_others"}

// String returns the name of o.
func (o Outcome) String() string { return outcomeNames[o] }

// Verdict is the outcome of one lost run. Quarantined is set if the crash reached the limit.
type Verdict struct {
	Crash
	Outcome     Outcome
	Quarantined bool
	// Servers is the number of servers that the request has crashed, and Evidence how many of these
	// crashes count towards the limit: those that overlap in time count once.
	Servers, Evidence int
}
