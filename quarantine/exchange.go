package quarantine

import "time"

// maxChanges is the number of changes kept for Delta. A peer that is further behind receives a
// snapshot.
const maxChanges = 1024

// change is one update for peers. Exactly one field is set.
type change struct {
	death      Death
	completion CompletionNotice
	quarantine QuarantineNotice
	run        RunNotice
}

// changeLog is a ring buffer of numbered changes. The first change has number 1.
type changeLog struct {
	last uint64
	kept [maxChanges]change
}

func (c *changeLog) add(next change) {
	c.last++
	c.kept[c.last%maxChanges] = next
}

// Delta returns the changes after a cursor and the cursor for the next call. The cursor 0 means
// the beginning. If some of the changes are no longer kept, it returns a snapshot. Changes
// received from peers are forwarded, except run notices. Merging changes that a peer already knows
// has no effect.
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
	case c.completion.Key != Key{}:
		m.Completions = append(m.Completions, c.completion)
	case c.run.Key != Key{}:
		m.Runs = append(m.Runs, c.run)
	default:
		m.Quarantines = append(m.Quarantines, c.quarantine)
	}
}

// Snapshot returns the state that a new peer needs.
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

// completions returns the completions of residents of stored deaths.
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

// Merge applies a message from a peer.
func (d *Detector) Merge(m Message) {
	for _, c := range m.Completions {
		if d.retains(c.Key) && d.isLatestCompletion(c) {
			d.completed.put(c.Key, c.At)
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

// isLatestCompletion reports whether no completion of the request as late as c is known.
func (d *Detector) isLatestCompletion(c CompletionNotice) bool {
	at, known := d.completed.times[c.Key]
	return !known || c.At.After(at)
}

func (s *suspect) diedAfter(at time.Time) bool {
	n := len(s.incidents)
	return n > 0 && s.incidents[n-1].at.After(at)
}
