package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
)

// Fingerprint identifies the content of a request, independent of its sender and request id.
type Fingerprint [16]byte

// Key identifies the content of a request and the model version that runs it.
type Key struct {
	Fingerprint Fingerprint        `json:"fingerprint"`
	Version     wigeonfork.Version `json:"version"`
}

// KeyOf returns the key of a generate request. The workspace, the stream id and the seed are not
// part of it.
func KeyOf(req *backend.GenerateRequest) Key {
	h := sha256.New()
	var length [8]byte
	for _, part := range [...]string{string(req.Model), req.Adapter, req.Prompt} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	binary.LittleEndian.PutUint64(length[:], uint64(req.MaxTokens))
	h.Write(length[:])
	key := Key{Version: req.Version}
	copy(key.Fingerprint[:], h.Sum(nil))
	return key
}

// DeathID identifies one death of one engine.
type DeathID struct {
	Server      wigeonfork.BackendServerID `json:"server"`
	Incarnation string                     `json:"incarnation"`
}

// Resident is a request that was running when its engine died.
type Resident struct {
	Key Key `json:"key"`
	// Ran is how long the engine had been running the request.
	Ran time.Duration `json:"ran"`
	// Decoded is the time since the first token of that run, or 0 before the first token.
	Decoded time.Duration `json:"decoded,omitempty"`
}

// Death is the death of an engine, as observed by its agent. The loss of a whole host is not
// reported.
type Death struct {
	ID        DeathID    `json:"id"`
	At        time.Time  `json:"at"`
	Residents []Resident `json:"residents"`
}

// Action says what the caller must do with a request.
type Action uint8

// The actions.
const (
	// Run: the request may run, but not on the servers that Avoid returns.
	Run Action = iota + 1
	// Hold: the suspect is already running, or reports on its latest death may still arrive. Retry
	// after RetryAfter.
	Hold
	// Refuse: the request is quarantined.
	Refuse
)

// String returns the name of a.
func (a Action) String() string {
	switch a {
	case Run:
		return "run"
	case Hold:
		return "hold"
	case Refuse:
		return "refuse"
	default:
		return "none"
	}
}

// Decision is the result of checking one request.
type Decision struct {
	Action Action
	// RetryAfter is set only with Hold.
	RetryAfter time.Duration
	// Deaths is the number of stored engine deaths in which the request was resident.
	Deaths int
	// Suspect is set by a Limiter, with Run, if the request may run only as a trial. LostServers is the
	// number of servers that were lost under it.
	Suspect     bool
	LostServers int
}

// CompletionNotice reports that a request completed.
type CompletionNotice struct {
	Key Key       `json:"key"`
	At  time.Time `json:"at"`
}

// QuarantineNotice reports that a request is quarantined.
type QuarantineNotice struct {
	Key Key       `json:"key"`
	At  time.Time `json:"at"`
}

// RunNotice reports that a suspect with several incidents is running.
type RunNotice struct {
	Key Key       `json:"key"`
	At  time.Time `json:"at"`
}

// Message carries updates from one Detector to another.
type Message struct {
	Deaths      []Death            `json:"deaths,omitempty"`
	Completions []CompletionNotice `json:"clearances,omitempty"`
	Quarantines []QuarantineNotice `json:"convictions,omitempty"`
	Runs        []RunNotice        `json:"attempts,omitempty"`
}

// Empty reports whether m contains no updates.
func (m Message) Empty() bool {
	return len(m.Deaths) == 0 && len(m.Completions) == 0 && len(m.Quarantines) == 0 && len(m.Runs) == 0
}

// Options configures a Detector. Zero values take the defaults.
type Options struct {
	// MaxSuspects bounds the suspects kept.
	MaxSuspects int
	// MaxQuarantined bounds the quarantined requests kept.
	MaxQuarantined int
	// MaxDeaths bounds the deaths kept.
	MaxDeaths int
	// MaxCompleted bounds the completed requests kept.
	MaxCompleted int
	// FalsePositiveRate is the probability threshold for quarantine. A suspect is quarantined
	// only if ordinary deaths alone would end its later runs as early as observed with at most
	// this probability.
	FalsePositiveRate float64
}

// Defaults of Options.
const (
	DefaultMaxSuspects       = 4096
	DefaultMaxQuarantined    = 1024
	DefaultMaxDeaths         = 256
	DefaultMaxCompleted      = 8192
	DefaultFalsePositiveRate = 1e-6
)

func (o Options) withDefaults() Options {
	if o.MaxSuspects <= 0 {
		o.MaxSuspects = DefaultMaxSuspects
	}
	if o.MaxQuarantined <= 0 {
		o.MaxQuarantined = DefaultMaxQuarantined
	}
	if o.MaxDeaths <= 0 {
		o.MaxDeaths = DefaultMaxDeaths
	}
	if o.MaxCompleted <= 0 {
		o.MaxCompleted = DefaultMaxCompleted
	}
	if o.FalsePositiveRate <= 0 {
		o.FalsePositiveRate = DefaultFalsePositiveRate
	}
	return o
}
