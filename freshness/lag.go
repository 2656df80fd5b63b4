package freshness

import "time"

// maxReports bounds the reports that a Lag keeps.
const maxReports = 32

// report is the first report of a version.
type report struct {
	version uint64
	at      Instant
}

// Lag tells for how long a newer configuration than the one in force is known to have been accepted. Peers
// report the versions that they have read. The zero Lag knows of none. It is a deterministic decision
// type and not safe for concurrent use.
//
// Invariant: the time since the first report of any version above the one in force is never
// understated.
type Lag struct {
	// reports holds the first reports of the versions above the one in force, each of a higher
	// version than those before.
	reports []report
}

// Reported records that a version was accepted.
func (l *Lag) Reported(now Instant, version, inForce uint64) {
	l.Installed(inForce)
	if version <= inForce || len(l.reports) > 0 && version <= l.reports[len(l.reports)-1].version {
		return
	}
	if len(l.reports) == maxReports {
		// The newest version is kept, with the time of the one before it.
		l.reports[maxReports-1].version = version
		return
	}
	l.reports = append(l.reports, report{version, now})
}

// Installed records the version in force.
func (l *Lag) Installed(inForce uint64) {
	n := 0
	for n < len(l.reports) && l.reports[n].version <= inForce {
		n++
	}
	l.reports = l.reports[n:]
}

// Behind returns for how long a newer configuration than the one in force has been known. It returns
// false if none is.
func (l *Lag) Behind(now Instant) (time.Duration, bool) {
	if len(l.reports) == 0 {
		return 0, false
	}
	return time.Duration(now - l.reports[0].at), true
}
