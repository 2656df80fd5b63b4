package quarantine

import "time"

// maxChanges bounds the changes that Delta can give; a peer that is further
// behind receives everything.
const maxChanges = 1024

// change is one thing to tell peers; exactly one field is set.
type change struct {
	death      Death
	clearance  CompletionNotice
	conviction QuarantineNotice
	attempt    RunNotice
}

// changeLog is a numbered log of bounded length. The first change is number 1.
type changeLog struct {
	last uint64
	kept [maxChanges]change
}

func (c *changeLog) add(next change) {
	c.last++
	c.kept[c.last%maxChanges] = next
}

// Delta returns what changed after a cursor, and the cursor for the next
// call. The cursor 0 stands for the beginning. What was learned from peers is
// passed on, and what a peer already knows changes nothing there.
func (d *Detector) Delta(after uint64) (Message, uint64) {
	if after > d.log.last || d.log.last-after > maxChanges {
		return d.Snapshot(), d.log.last
	}
	var m Message
	for n := after + 1; n <= d.log.last; n++ {
		m.add(&d.log.kept[n%maxChanges])
	}
	return m, d.log.last
}

func (m *Message) add(c *change) {
	switch {
	case c.death.ID != DeathID{}:
		m.Deaths = append(m.Deaths, c.death)
	case c.clearance.Key != Key{}:
		m.Completions = append(m.Completions, c.clearance)
	case c.attempt.Key != Key{}:
		m.Runs = append(m.Runs, c.attempt)
	default:
		m.Quarantines = append(m.Quarantines, c.conviction)
	}
}

// Snapshot returns all that a new peer has to know.
func (d *Detector) Snapshot() Message {
	var m Message
	for _, id := range d.recent {
		m.Deaths = append(m.Deaths, d.deaths[id].Death)
	}
	for _, key := range d.quarantined.order {
		m.Quarantines = append(m.Quarantines, QuarantineNotice{Key: key, At: d.quarantined.times[key]})
	}
	m.Completions = d.completions()
	return m
}

// completions are those of the residents of remembered deaths.
func (d *Detector) completions() []CompletionNotice {
	var out []CompletionNotice
	for _, id := range d.recent {
		for _, r := range d.deaths[id].Residents {
			if at, ok := d.completed.times[r.Key]; ok {
				out = append(out, CompletionNotice{Key: r.Key, At: at})
			}
		}
	}
	return out
}

// Merge takes in what a peer tells.
func (d *Detector) Merge(m Message) {
	for _, c := range m.Completions {
		if d.retains(c.Key) && d.completed.put(c.Key, c.At) {
			d.clearIncidents(c.Key, c.At)
		}
	}
	for _, c := range m.Quarantines {
		if d.retains(c.Key) {
			d.quarantine(c.Key, c.At)
		}
	}
	for _, death := range m.Deaths {
		d.applyDeath(death)
	}
	for _, run := range m.Runs {
		if s := d.suspects[run.Key]; s != nil && run.At.After(s.peerRunAt) && !s.diedAfter(run.At) {
			s.peerRunAt = run.At
		}
	}
}

func (s *suspect) diedAfter(at time.Time) bool {
	n := len(s.incidents)
	return n > 0 && s.incidents[n-1].at.After(at)
}
