package engine

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
)

// Options are the settings of a Server. All but Versions can be changed while
// it runs, through Server.Update.
type Options struct {
	// Versions are loaded and ready from the start of each incarnation.
	Versions []backend.LoadedVersion
	// AnyVersion: requests for versions that are not loaded are served too.
	AnyVersion bool

	// Slots is the number of streams in the batch; 0 means 8.
	Slots int
	// MaxQueue bounds the waiting streams; further ones get 429. 0 means 1024.
	MaxQueue int
	// TokensPerSecond is the rate of one stream alone; 0 means no pacing.
	TokensPerSecond float64
	// SlowFactor multiplies the time of each token; 0 means 1.
	SlowFactor float64
	// BatchSlowdown is the part of a token's time that each other running
	// stream adds to it.
	BatchSlowdown float64
	// PrefillPerToken is the time for each prompt token not in the cache.
	PrefillPerToken time.Duration
	// CacheBlocks bounds the prefix cache, in blocks; 0 means no cache.
	CacheBlocks int
	// TokensPerChunk bounds the tokens of one event; 0 means 1.
	TokensPerChunk int
	// BufferFor is how long a stream without a reader goes on and is kept.
	BufferFor time.Duration

	// WeightsAddress is the IP and port of the weight store that loads read
	// from. If it is empty a load takes LoadDuration.
	WeightsAddress string
	// LoadDuration is the time of a load without a weight store.
	LoadDuration time.Duration
	// ChecksFencing: an order with a lower fencing number than one seen in its
	// scope gets 409.
	ChecksFencing bool

	// LoadReportLag is the age of the load reports.
	LoadReportLag time.Duration
	// CacheEventLag is the delay of cache events.
	CacheEventLag time.Duration
	// CacheEventGap drops each n-th cache event; 0 drops none.
	CacheEventGap int

	// Poison kills the engine on a prompt that contains it, unless empty.
	Poison string
	// PoisonAfterTokens is how many tokens such a request generates before.
	PoisonAfterTokens int
	// RestartAfter is the delay until the engine that a poison request killed
	// starts again; 0 leaves it dead.
	RestartAfter time.Duration
	// Stuck: health and load answer, but no stream makes progress.
	Stuck bool
	// Faults are the defects of versions.
	Faults []VersionFault
}

// VersionFault is a defect of the requests that match it. Empty fields match
// every request.
type VersionFault struct {
	Model     wigeonfork.Model
	Version   wigeonfork.Version
	Adapter   string
	Workspace wigeonfork.Workspace
	// AboveRunning: only while more streams than this run.
	AboveRunning int
	// After: only from this time after the start of the incarnation on.
	After time.Duration

	// FailRate is the part of the requests that fail.
	FailRate float64
	// FailAtToken is the position at which they fail; 0 means that they are
	// answered with status 500.
	FailAtToken int
	// SlowFactor multiplies the time of each token; 0 means 1.
	SlowFactor float64
	// WrongStopRate is the part of the answers that end at half their length.
	WrongStopRate float64
}

const (
	defaultSlots    = 8
	defaultMaxQueue = 1024
	hashRange       = 1 << 53
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

// tokenTime returns the time of one token beside others running streams.
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

// sampled tells whether the event named by salt happens to the stream with
// hash key, at the given rate. It is the same on each call.
func sampled(hash uint64, salt int, rate float64) bool {
	return float64(splitmix64(hash, salt)>>11)/hashRange < rate
}
