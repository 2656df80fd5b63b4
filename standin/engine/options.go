package engine

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
)

// Options are the settings of a Server. All except Versions can be changed at run time with
// Server.Update.
type Options struct {
	// Versions are loaded and ready from the start of each incarnation. Their Ready fields are
	// ignored.
	Versions []backend.LoadedVersion
	// AnyVersion also serves requests for versions that are not loaded.
	AnyVersion bool

	// Slots is the maximum number of streams in the batch; 0 means 8.
	Slots int
	// MaxQueue bounds the queued streams; further requests get 429. 0 means 1024.
	MaxQueue int
	// TokensPerSecond is the rate of a single running stream; 0 means no pacing.
	TokensPerSecond float64
	// SlowFactor multiplies the time of each token; 0 means 1.
	SlowFactor float64
	// BatchSlowdown is the fraction by which each other running stream lengthens the time of a
	// token.
	BatchSlowdown float64
	// PrefillPerToken is the time for each prompt token not in the cache and each prefix token.
	PrefillPerToken time.Duration
	// CacheBlocks bounds the prefix cache, in blocks; 0 means no cache.
	CacheBlocks int
	// TokensPerChunk is the maximum number of tokens in one event; 0 means 1.
	TokensPerChunk int
	// BufferFor is how long a stream without a reader keeps running and can be resumed.
	BufferFor time.Duration

	// WeightsAddress is the IP and port of the weight store. If it is empty, a load takes
	// LoadDuration.
	WeightsAddress string
	// LoadDuration is the duration of a load without a weight store.
	LoadDuration time.Duration
	// ChecksFencing refuses an order with 409 if its fencing number is lower than the highest one
	// seen in its scope.
	ChecksFencing bool

	// LoadReportLag is the age at which a load report is replaced; 0 measures each time.
	LoadReportLag time.Duration
	// CacheEventLag is the delay of cache events.
	CacheEventLag time.Duration
	// CacheEventGap is n if every n-th cache event is dropped; 0 drops none.
	CacheEventGap int

	// Poison kills the engine when a prompt contains it; empty means never.
	Poison string
	// PoisonAfterTokens is the number of tokens that such a request generates first.
	PoisonAfterTokens int
	// RestartAfter is the delay until a Running engine killed by a poison request restarts; 0
	// leaves it dead. A Server without a port restarts at once.
	RestartAfter time.Duration
	// Stuck stops all streams from making progress. Health and load requests still succeed.
	Stuck bool
	// Faults apply to the requests that match them.
	Faults []VersionFault
}

// VersionFault is a fault of the requests that match it. Empty fields match every request.
type VersionFault struct {
	Model     wigeonfork.Model
	Version   wigeonfork.Version
	Adapter   string
	Workspace wigeonfork.Workspace
	// AboveRunning applies the fault only while more than this number of streams run; 0 means
	// always.
	AboveRunning int
	// After is the age of the incarnation from which the fault applies.
	After time.Duration

	// FailRate is the fraction of requests that fail.
	FailRate float64
	// FailAtToken is the position at which they fail; 0 means that they are refused with status
	// 500.
	FailAtToken int
	// SlowFactor multiplies the time of each token; 0 means 1.
	SlowFactor float64
	// WrongStopRate is the fraction of answers that end at half their length.
	WrongStopRate float64
}

const (
	defaultSlots    = 8
	defaultMaxQueue = 1024
	// hashRange is the number of values of a 53-bit hash, which a float64 holds exactly.
	hashRange = 1 << 53
)

func (o *Options) slots() int {
	if o.Slots <= 0 {
		return defaultSlots
	}
	return o.Slots
}

func (o *Options) maxQueue() int {
	if o.MaxQueue <= 0 {
		return defaultMaxQueue
	}
	return o.MaxQueue
}

func (o *Options) chunkTokens() int { return max(o.TokensPerChunk, 1) }

// tokenTime returns the time of one token while others other streams run.
func (o *Options) tokenTime(others int, slow float64) time.Duration {
	if o.TokensPerSecond <= 0 {
		return 0
	}
	seconds := slow * (1 + o.BatchSlowdown*float64(others)) / o.TokensPerSecond
	if o.SlowFactor > 0 {
		seconds *= o.SlowFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

// sampled returns whether an event with the given rate happens to the stream with the given hash.
// The salt distinguishes events. The result is the same on each call.
func sampled(hash uint64, salt int, rate float64) bool {
	return float64(splitmix64(hash, salt)>>11)/hashRange < rate
}
