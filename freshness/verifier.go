package freshness

import "time"

// RewriteTimeout is the time after the first answer of a new era of the store within which the
// operator writes again what the store lost.
const RewriteTimeout = time.Second

// Answer is an answer of the store to a read of the configuration.
type Answer struct {
	// Era and Revision are the store's position when it answered.
	Era, Revision uint64
	// Version is the operator's version of the configuration that was read, and WrittenAt the
	// revision at which it was written. Both are 0 if the answer holds none, as that to a read of
	// changes without any.
	Version, WrittenAt uint64
	// Sent is the local time of the call. StoreNow is the store's monotonic clock when it answered.
	Sent     Instant
	StoreNow time.Duration
}

// Verdict says what an answer proves about the configuration in force.
type Verdict uint8

// The verdicts.
const (
	// Stale means that the answer is of an earlier era and must not be used.
	Stale Verdict = iota
	// Unproven means that the store may still show an older copy.
	Unproven
	// Outdated means that the process started on an older copy: a newer configuration was accepted
	// that the store does not show. Earlier verdicts prove nothing.
	Outdated
	// Proven means that no newer configuration was accepted when the store answered.
	Proven
)

var verdictNames = [...]string{"stale", "unproven", "outdated", "proven"}

// String returns the name of v.
func (v Verdict) String() string { return verdictNames[v] }

// Verifier decides whether an answer of the store proves that the configuration in force is the
// newest. Normally each answer does. After the store came back from an older copy, it may show a
// configuration that was replaced already, until the operator has written again. Configurations are
// ordered by the operator's version, which the store does not assign. The zero Verifier has seen no
// answer. It is a deterministic decision type and not safe for concurrent use.
//
// Invariant: in an era that began while this process ran, no answer is proof before the
// configuration was written in that era or RewriteTimeout has passed, and none while the store shows
// an older configuration than the one in force or one that a peer has reported.
type Verifier struct {
	era   uint64
	known bool
	// restored is set if the store entered the era while this process ran. The first answer was
	// made at began by the store's clock, at revision base.
	restored bool
	began    time.Duration
	base     uint64
	// rewritten is set once the configuration was written in this era.
	rewritten bool
	// shown is the newest version that the store has shown in this era.
	shown uint64
	// reported is the newest version that a peer has reported, at reportedAt.
	reported   uint64
	reportedAt Instant
}

// Era returns the newest known era. It returns false if no answer was observed.
func (v *Verifier) Era() (uint64, bool) { return v.era, v.known }

// Observe records an answer. inForce is the version of the configuration in force, including the
// one that was read. newEra is set for the first answer of an era that began while this process ran.
func (v *Verifier) Observe(a Answer, inForce uint64) (verdict Verdict, newEra bool) {
	if v.known && a.Era < v.era {
		return Stale, false
	}
	if !v.known || a.Era > v.era {
		newEra = v.known
		*v = Verifier{
			era: a.Era, known: true, restored: newEra, began: a.StoreNow, base: a.Revision,
			reported: v.reported, reportedAt: v.reportedAt,
		}
	}
	v.shown = max(v.shown, a.Version)
	v.rewritten = v.rewritten || a.WrittenAt > v.base
	switch {
	case !v.restored && v.shown < v.reported && inForce < v.reported && a.Sent > v.reportedAt:
		return Outdated, newEra
	case v.shown < max(inForce, v.reported):
		return Unproven, newEra
	case v.restored && !v.rewritten && a.StoreNow-v.began < RewriteTimeout:
		return Unproven, newEra
	}
	return Proven, newEra
}

// ObservePeer records a peer's report that a configuration of the given version was accepted.
func (v *Verifier) ObservePeer(now Instant, version uint64) {
	if version > v.reported {
		v.reported, v.reportedAt = version, now
	}
}
