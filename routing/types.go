package routing

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// ID names a backend server.
type ID = wigeonfork.BackendServerID

// State is the state of a server.
type State uint8

// The states of a server. A suspect server receives one probe per
// Options.ProbeInterval, and other requests only if no ready server is available.
// A leaving or dead server receives no requests.
const (
	StateReady State = iota
	StateSuspect
	StateLeaving
	StateDead
)

var stateNames = [...]string{"ready", "suspect", "leaving", "dead"}

// String returns the name of s.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Deployment names one version of a model.
type Deployment struct {
	Model   wigeonfork.Model
	Version wigeonfork.Version
}

// Server describes a backend server.
type Server struct {
	ID     ID
	Host   wigeonfork.HostID
	Domain wigeonfork.FailureDomain
	// Versions lists the deployments that requests may name. A deployment with an
	// empty version matches requests that name no version.
	Versions []Deployment
	// Adapters lists the adapters that are loaded.
	Adapters []string
	// Role restricts the server to requests with the same role. An empty role, of
	// the server or of the request, matches every role.
	Role string
	// Slots is the number of requests the engine runs at once.
	Slots int
	// RoundTrip is the network round-trip time; 0 means a default by domain.
	RoundTrip time.Duration
}

// Prefix is one prefix of a prompt: its hash and its length in tokens.
type Prefix struct {
	Hash   uint64
	Tokens uint32
}

// Request describes the request that Choose finds a server for.
type Request struct {
	Workspace wigeonfork.Workspace
	Model     wigeonfork.Model
	Version   wigeonfork.Version
	Adapter   string
	Role      string
	Class     wigeonfork.Class
	// Prefixes are the prompt's prefixes, shortest first.
	Prefixes     []Prefix
	PromptTokens uint32
	// MaxTokens bounds the answer; 0 means unknown.
	MaxTokens uint32
	// Exclude lists servers that must not be chosen.
	Exclude []ID
	// Avoid lists servers that are chosen only if there is no other.
	Avoid []ID
	// AvoidDomain is a failure domain that has just lost a server. Its other
	// servers may have failed undetected. They are chosen only if all others are
	// much slower.
	AvoidDomain wigeonfork.FailureDomain
	// Resume marks the continuation of an interrupted answer. The time to the
	// first token then has a higher weight.
	Resume bool
	// Deadline is the time by which the answer is due; zero means none.
	Deadline time.Time
	// Rank is the request's urgency.
	Rank wigeonfork.Rank
}

// Decision is the outcome of Choose.
type Decision struct {
	ID     ID
	Host   wigeonfork.HostID
	Domain wigeonfork.FailureDomain
	// ExpectedWait is the predicted time to the first token.
	ExpectedWait time.Duration
	// ExpectedTotal is the predicted time to the last token.
	ExpectedTotal time.Duration
	// CachedTokens is the part of the prompt that is probably cached there.
	CachedTokens uint32
	// Probe is set if the request probes a suspect server.
	Probe bool
	// Avoided is set if the server is in Request.Avoid.
	Avoided bool
	// MissesDeadline is set if the answer is predicted to miss the deadline.
	MissesDeadline bool
	// NoRoom is set if the server has no room for the request. RoomIn is the predicted
	// time until it has.
	NoRoom bool
	RoomIn time.Duration
}

// Work is the load that a request causes on its server. Started and then
// Finished or Failed get the same value.
type Work struct {
	Class        wigeonfork.Class
	Prefixes     []Prefix
	PromptTokens uint32
	MaxTokens    uint32
	// HasBackup is set if the server holds a backup of the request, so that no prompt
	// tokens are prefilled.
	HasBackup bool
	// Rank is the request's urgency.
	Rank wigeonfork.Rank
}

// tokens returns the largest KV cache size of the request.
func (w *Work) tokens() float64 { return float64(w.PromptTokens) + float64(w.MaxTokens) }

// FirstToken holds the measurements at the first token of a stream.
type FirstToken struct {
	// Wait is the time from dispatch to the first token.
	Wait         time.Duration
	PromptTokens uint32
	CachedTokens uint32
}

// Result holds the measurements of a finished stream.
type Result struct {
	// Tokens is the number of tokens of the answer, over all runs of the stream. It is compared
	// with the MaxTokens of the stream's Work.
	Tokens uint32
	// Duration is the time from dispatch of the last run to the last token.
	Duration time.Duration
}

// Term is a set of terms of the score.
type Term uint16

// The terms of the score.
const (
	// TermWait is the queueing time expected from the outstanding requests.
	TermWait Term = 1 << iota
	// TermReports adds the reported load of other entries.
	TermReports
	// TermPrefix credits the prefill that a cached prefix saves.
	TermPrefix
	// TermSpeed uses the learned speed of each server.
	TermSpeed
	// TermDomain adds the network round-trip time.
	TermDomain
	// TermSuspect avoids suspect servers, except for probes.
	TermSuspect
	// TermBound limits the load that a hot prefix attracts to one server.
	TermBound
	// TermInterference adds the delay that the prefill causes to the requests that
	// already run on the server.
	TermInterference
)

// Options configures a Router. Zero values take the defaults.
type Options struct {
	// Seed seeds the router's random numbers.
	Seed uint64
	// Domain is the failure domain of the entry.
	Domain wigeonfork.FailureDomain
	// DisabledTerms leaves terms out of the score, to measure the gain of each.
	DisabledTerms Term
	// Choices is the number of servers sampled at random for each request.
	Choices int
	// MaxPrefixes bounds the number of recorded prefixes.
	MaxPrefixes int
	// ProbeInterval is the minimum time between two probes of a suspect server.
	ProbeInterval time.Duration
	// CacheHalfLife is the time without confirmation after which a cached prefix
	// counts half.
	CacheHalfLife time.Duration
	// SpeedHalfLife is the time without samples after which the difference of a
	// learned speed from the prior has halved.
	SpeedHalfLife time.Duration
}

// Defaults of Options.
const (
	DefaultChoices       = 12
	DefaultMaxPrefixes   = 16384
	DefaultProbeInterval = 2 * time.Second
	DefaultCacheHalfLife = 60 * time.Second
	DefaultSpeedHalfLife = 30 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Choices <= 0 {
		o.Choices = DefaultChoices
	}
	if o.MaxPrefixes <= 0 {
		o.MaxPrefixes = DefaultMaxPrefixes
	}
	if o.ProbeInterval <= 0 {
		o.ProbeInterval = DefaultProbeInterval
	}
	if o.CacheHalfLife <= 0 {
		o.CacheHalfLife = DefaultCacheHalfLife
	}
	if o.SpeedHalfLife <= 0 {
		o.SpeedHalfLife = DefaultSpeedHalfLife
	}
	return o
}
