package quarantine

import "time"

const (
	// beginMemory is the time for which begins of runs are kept. It covers the time until a crash
	// is reported by the entry that judges it last.
	beginMemory = 10 * time.Second
	// maxBegins bounds the parts whose begins are kept.
	maxBegins = 8192
)

// beginLog keeps when runs last began with each part. It holds two generations, each of at most
// maxBegins/2 parts, and drops the older one when the other is full or old.
type beginLog struct {
	recent, older map[PartID]time.Time
	since         time.Time
}

func newBeginLog() *beginLog {
	return &beginLog{recent: make(map[PartID]time.Time), older: make(map[PartID]time.Time)}
}

func (l *beginLog) record(id PartID, at time.Time) {
	if len(l.recent) >= maxBegins/2 || at.Sub(l.since) > beginMemory {
		l.older, l.recent, l.since = l.recent, make(map[PartID]time.Time), at
	}
	if at.After(l.recent[id]) {
		l.recent[id] = at
	}
}

// last returns when a run last began with the part, as far as that is known.
func (l *beginLog) last(id PartID) time.Time {
	if at := l.older[id]; at.After(l.recent[id]) {
		return at
	}
	return l.recent[id]
}

// after reports whether a run with the part is known to have begun after a time.
func (l *beginLog) after(id PartID, at time.Time) bool { return l.last(id).After(at) }
