package revision

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// Options are the settings of a Node. A zero field takes its default.
type Options struct {
	// ID is the host of this process.
	ID wigeonfork.HostID
	// Domain is the failure domain of this process.
	Domain wigeonfork.FailureDomain
	// Seed seeds the random choices. Processes need different seeds.
	Seed uint64
	// Fanout is the number of peers per push.
	Fanout int
	// PushRounds is the number of pushes after an installation. The last of
	// several carries the revision without the changes.
	PushRounds int
	// PushInterval is the mean time between two pushes. The jitter is 50%.
	PushInterval time.Duration
	// PullInterval is the mean time between two pulls.
	PullInterval time.Duration
	// ReadsPerSecond is the mean rate of table reads of all processes together.
	ReadsPerSecond float64
	// StartReadsPerSecond bounds the table reads of processes that start at
	// the same time.
	StartReadsPerSecond float64
	// StartPeers is the number of serving peers that must have answered
	// before a process serves without the table.
	StartPeers int
	// BytesPerSecond bounds the average send rate. Pushes wait while pulls and
	// replies have used it up.
	BytesPerSecond float64
}

// The default values of Options.
const (
	DefaultFanout              = 4
	DefaultPushRounds          = 3
	DefaultPushInterval        = 150 * time.Millisecond
	DefaultPullInterval        = 250 * time.Millisecond
	DefaultReadsPerSecond      = 8
	DefaultStartReadsPerSecond = 200
	DefaultStartPeers          = 3
	DefaultBytesPerSecond      = 1200
)

// Fixed intervals and limits of the protocol.
const (
	// A starting process probes probesPerRound peers every probeInterval, and
	// every slowProbeInterval after fastProbeRounds.
	probeInterval     = 200 * time.Millisecond
	slowProbeInterval = 2 * time.Second
	fastProbeRounds   = 25
	probesPerRound    = 6
	// pullTimeout and readTimeout bound the wait for a reply of a peer and of the
	// table.
	pullTimeout = 200 * time.Millisecond
	readTimeout = 2 * time.Second
	// answerLifetime is the time for which the answer of a peer counts during the
	// start.
	answerLifetime = 5 * time.Second
	// A push covers the installations within pushWindow, at least the last one and
	// at most maxRecentInstalls. Its delta has at most maxPushBytes.
	pushWindow        = time.Second
	maxPushBytes      = 4096
	maxRecentInstalls = 64
	// messageOverheadBytes is the approximate size of a message without its
	// delta, facts and survey.
	messageOverheadBytes = 64
)

func (o Options) withDefaults() Options {
	setDefault(&o.Fanout, DefaultFanout)
	setDefault(&o.PushRounds, DefaultPushRounds)
	setDefault(&o.PushInterval, DefaultPushInterval)
	setDefault(&o.PullInterval, DefaultPullInterval)
	setDefault(&o.ReadsPerSecond, DefaultReadsPerSecond)
	setDefault(&o.StartReadsPerSecond, DefaultStartReadsPerSecond)
	setDefault(&o.StartPeers, DefaultStartPeers)
	setDefault(&o.BytesPerSecond, DefaultBytesPerSecond)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
