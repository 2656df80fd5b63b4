package membership

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// Options are the settings of a Tracker. A zero field takes its default.
type Options struct {
	// Entry is the host of this process. It seeds the subset selection.
	Entry wigeonfork.HostID
	// SubsetSize is the number of backend servers to monitor.
	SubsetSize int
	// WarmSize is the number of idle members that are polled.
	WarmSize int
}

// The defaults of Options, in members.
const (
	DefaultSubsetSize = 200
	DefaultWarmSize   = 8
)

// Durations without activity after which a member changes its state.
const (
	SuspectAfter      = 1500 * time.Millisecond
	UnresponsiveAfter = 3 * time.Second
)

// Durations and limits of polling, damping and replacement.
const (
	// PollInterval is the time between polls of a member without other
	// activity.
	PollInterval = time.Second
	// failedMemberPollInterval is the minimum time between polls of a failed member.
	failedMemberPollInterval = 3 * time.Second
	maxFailedPollsPerTick    = 2
	// replaceAfter is the time after which a failed member can be replaced.
	replaceAfter = 10 * time.Second
	// reconsiderAfter is the time after which a failed member outside the subset
	// can be selected again.
	reconsiderAfter = time.Minute
	// pollTimeout counts from the first unanswered poll, which can be sent up to
	// PollInterval after the last activity.
	pollTimeout = UnresponsiveAfter - PollInterval
	// A failure adds 1 to the penalty of a member, and so does a restart without a
	// failure. The penalty is halved every penaltyHalfLife. A new incarnation is
	// damped if the penalty exceeds toleratedPenalty.
	penaltyHalfLife  = time.Minute
	toleratedPenalty = 1.5
	baseDamping      = 2 * time.Second
	maxDamping       = time.Minute
	// minUsableShare applies to WarmSize, or to the size of a smaller subset.
	// Damping ends if a smaller share of members is usable.
	minUsableShare = 0.5
)

func (o Options) withDefaults() Options {
	if o.SubsetSize == 0 {
		o.SubsetSize = DefaultSubsetSize
	}
	if o.WarmSize == 0 {
		o.WarmSize = DefaultWarmSize
	}
	return o
}
