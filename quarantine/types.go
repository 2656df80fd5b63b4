package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
)

// Fingerprint names what a request asks for, whoever sends it under whatever
// request id.
type Fingerprint [16]byte

// Key is a fingerprint on one version of its model.
type Key struct {
	Fingerprint Fingerprint        `json:"fingerprint"`
	Version     wigeonfork.Version `json:"version"`
}

// KeyOf returns the key of a generation. The workspace, the stream and the
// seed are not part of it.
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

// DeathID names one death of one engine.
type DeathID struct {
	Server      wigeonfork.BackendServerID `json:"server"`
	Incarnation string                     `json:"incarnation"`
}

// Resident is a request that was running when its engine died.
type Resident struct {
	Key Key `json:"key"`
	// Ran is how long the engine had been running it.
	Ran time.Duration `json:"ran"`
	// Decoded is the time since the first token of that run; 0 before it.
	Decoded time.Duration `json:"decoded,omitempty"`
}

// Death is the death of an engine, as seen by the agent beside it. The death
// of a whole host is not reported.
type Death struct {
	ID        DeathID    `json:"id"`
	At        time.Time  `json:"at"`
	Residents []Resident `json:"residents"`
}

// Action is what a Verdict asks for.
type Action uint8

// The actions.
const (
	// Run: the request may run, away from the servers that Avoid returns.
	Run Action = iota + 1
	// Hold: the request is suspect and running elsewhere, or its case is not
	// settled; it is worth coming back after RetryAfter.
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

// Decision is the decision on one request.
type Decision struct {
	Action     Action
	RetryAfter time.Duration
	// Deaths is the number of engine deaths that the request was part of.
	Deaths int
}

// CompletionNotice says that a request completed.
type CompletionNotice struct {
	Key Key       `json:"key"`
	At  time.Time `json:"at"`
}

// QuarantineNotice says that a request is quarantined.
type QuarantineNotice struct {
	Key Key       `json:"key"`
	At  time.Time `json:"at"`
}

// RunNotice says that a request with several charges is running.
type RunNotice struct {
	Key Key       `json:"key"`
	At  time.Time `json:"at"`
}

// Message carries what one Detector tells another.
type Message struct {
	Deaths      []Death            `json:"deaths,omitempty"`
	Completions []CompletionNotice `json:"clearances,omitempty"`
	Quarantines []QuarantineNotice `json:"convictions,omitempty"`
	Runs        []RunNotice        `json:"attempts,omitempty"`
}

// Empty tells whether m says nothing.
func (m Message) Empty() bool {
	return len(m.Deaths) == 0 && len(m.Completions) == 0 && len(m.Quarantines) == 0 && len(m.Runs) == 0
}

// Options configures a Detector. Zero values take the defaults.
type Options struct {
	// MaxSuspects bounds the suspects remembered.
	MaxSuspects int
	// MaxQuarantined bounds the quarantined requests remembered.
	MaxQuarantined int
	// MaxDeaths bounds the deaths remembered.
	MaxDeaths int
	// MaxCompleted bounds the completed requests remembered.
	MaxCompleted int
	// FalsePositiveRate is the probability at which an innocent suspect's deaths
	// may look like its own doing.
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
