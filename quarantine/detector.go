package quarantine

import (
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	settleTime      = 100 * time.Millisecond // wait for reports of simultaneous deaths
	holdRetryAfter  = time.Second
	completionTTL   = 10 * time.Minute // deaths this soon after a completion do not count
	maxIncidents    = 8                // kept per suspect
	peerRunTTL      = 5 * time.Second  // a run reported by a peer counts as running this long
	serialIncidents = 2                // from this many on, a suspect has one run at a time
)

// deathRecord is a stored death.
type deathRecord struct {
	Death
	attributed bool // caused by a quarantined request
}

// Detector is one process's view of the requests that crash engines.
type Detector struct {
	options         Options
	servers         int
	deaths          map[DeathID]*deathRecord
	recent          []DeathID // in order of arrival, oldest first
	suspects        map[Key]*suspect
	quarantined     boundedTimes[Key]
	completed       boundedTimes[Key]
	suspectRuns     map[wigeonfork.BackendServerID]int // number of running suspects
	retained        map[wigeonfork.Version]bool
	suspectsCreated uint64
	log             changeLog
	scratch         []incident
}

// New returns a Detector without suspects.
func New(options Options) *Detector {
	options = options.withDefaults()
	return &Detector{
		options:     options,
		deaths:      make(map[DeathID]*deathRecord),
		suspects:    make(map[Key]*suspect),
		suspectRuns: make(map[wigeonfork.BackendServerID]int),
		quarantined: newBoundedTimes[Key](options.MaxQuarantined),
		completed:   newBoundedTimes[Key](options.MaxCompleted),
	}
}

// SetServerCount sets the number of servers in the fleet. The ordinary death rate per server is
// computed from it.
func (d *Detector) SetServerCount(n int) { d.servers = n }

// RetainVersions drops the suspects, quarantined requests and completions of all versions but the
// given ones. Later deaths and peer reports no longer affect requests of the dropped versions.
func (d *Detector) RetainVersions(versions []wigeonfork.Version) {
	d.retained = make(map[wigeonfork.Version]bool, len(versions))
	for _, v := range versions {
		d.retained[v] = true
	}
	for key := range d.suspects {
		if !d.retains(key) {
			d.removeSuspect(key)
		}
	}
	d.quarantined.filter(d.retains)
	d.completed.filter(d.retains)
}

func (d *Detector) retains(key Key) bool {
	return d.retained == nil || d.retained[key.Version]
}

// EngineDied records the death of an engine. Several observers may report the same death, each
// with the residents that it knows. A zero death.At means now.
func (d *Detector) EngineDied(now time.Time, death Death) {
	if death.At.IsZero() {
		death.At = now
	}
	d.applyDeath(death)
}

func (d *Detector) applyDeath(death Death) {
	record := d.deaths[death.ID]
	first := record == nil
	if first {
		record = &deathRecord{Death: Death{ID: death.ID, At: death.At}}
		d.storeDeath(record)
	}
	var added []Resident
	for _, r := range death.Residents {
		if !record.hasResident(r.Key) {
			added = append(added, r)
		}
	}
	if !first && len(added) == 0 {
		return
	}
	record.Residents = append(record.Residents, added...)
	d.log.add(change{death: Death{ID: record.ID, At: record.At, Residents: added}})
	d.addIncidents(record, added)
}

func (r *deathRecord) hasResident(key Key) bool {
	for i := range r.Residents {
		if r.Residents[i].Key == key {
			return true
		}
	}
	return false
}

func (d *Detector) addIncidents(death *deathRecord, residents []Resident) {
	for _, r := range residents {
		if d.quarantined.has(r.Key) {
			death.attributed = true
		}
	}
	for _, r := range residents {
		d.addIncident(death, r)
	}
}

// addIncident makes a resident a suspect, unless it completed recently or the death is attributed
// to a quarantined request.
func (d *Detector) addIncident(death *deathRecord, r Resident) {
	if death.attributed || !d.retains(r.Key) || d.quarantined.has(r.Key) {
		return
	}
	if at, ok := d.completed.times[r.Key]; ok && death.At.Sub(at) < completionTTL {
		d.log.add(change{completion: CompletionNotice{Key: r.Key, At: at}})
		return
	}
	s := d.suspects[r.Key]
	if s == nil {
		s = d.newSuspect(r.Key)
	}
	if len(s.incidents) < maxIncidents && !s.residentIn(death.ID) {
		s.add(newIncident(death, r))
	}
	d.endRun(s, death.ID.Server)
	if death.At.After(s.peerRunAt) {
		s.peerRunAt = time.Time{}
	}
}

func (d *Detector) newSuspect(key Key) *suspect {
	if len(d.suspects) >= d.options.MaxSuspects {
		d.evict()
	}
	d.suspectsCreated++
	s := &suspect{created: d.suspectsCreated}
	d.suspects[key] = s
	return s
}

// evict drops the quarter of the suspects with the fewest incidents, oldest first. Dropping many
// at once spreads the cost of sorting over many additions.
func (d *Detector) evict() {
	keys := make([]Key, 0, len(d.suspects))
	for key := range d.suspects {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		sa, sb := d.suspects[a], d.suspects[b]
		if len(sa.incidents) != len(sb.incidents) {
			return len(sa.incidents) - len(sb.incidents)
		}
		return int(int64(sa.created) - int64(sb.created))
	})
	for _, key := range keys[:max(1, len(keys)/4)] {
		d.removeSuspect(key)
	}
}

func (d *Detector) storeDeath(r *deathRecord) {
	if len(d.recent) >= d.options.MaxDeaths {
		delete(d.deaths, d.recent[0])
		d.recent = slices.Delete(d.recent, 0, 1)
	}
	d.recent = append(d.recent, r.ID)
	d.deaths[r.ID] = r
}

// Started records that a request started on a server. It has no effect unless the request is a
// suspect.
func (d *Detector) Started(now time.Time, key Key, server wigeonfork.BackendServerID) {
	s := d.suspects[key]
	if s == nil {
		return
	}
	s.running = append(s.running, server)
	d.suspectRuns[server]++
	if len(s.incidents) >= serialIncidents {
		d.log.add(change{run: RunNotice{Key: key, At: now}})
	}
}

// Stopped records that a run ended without completing.
func (d *Detector) Stopped(_ time.Time, key Key, server wigeonfork.BackendServerID) {
	if s := d.suspects[key]; s != nil {
		d.endRun(s, server)
	}
}

func (d *Detector) endRun(s *suspect, server wigeonfork.BackendServerID) {
	i := slices.Index(s.running, server)
	if i < 0 {
		return
	}
	s.running = slices.Delete(s.running, i, i+1)
	d.suspectRuns[server]--
	if d.suspectRuns[server] == 0 {
		delete(d.suspectRuns, server)
	}
}

// removeSuspect drops a suspect and its runs.
func (d *Detector) removeSuspect(key Key) {
	s := d.suspects[key]
	if s == nil {
		return
	}
	for len(s.running) > 0 {
		d.endRun(s, s.running[0])
	}
	delete(d.suspects, key)
}

// Completed records that a request ran to its end. This drops its earlier incidents.
func (d *Detector) Completed(now time.Time, key Key) {
	d.completed.put(key, now)
	if d.suspects[key] != nil {
		d.clearIncidents(key, now)
	}
}

// clearIncidents drops the incidents before a completion and within completionTTL after it.
func (d *Detector) clearIncidents(key Key, at time.Time) {
	if s := d.suspects[key]; s != nil {
		s.incidents = slices.DeleteFunc(s.incidents, func(c incident) bool {
			return c.at.Sub(at) < completionTTL
		})
		if len(s.incidents) == 0 {
			d.removeSuspect(key)
		}
	}
	d.log.add(change{completion: CompletionNotice{Key: key, At: at}})
}

// Check decides whether a request may run now.
func (d *Detector) Check(now time.Time, key Key) Decision {
	if d.quarantined.has(key) {
		return Decision{Action: Refuse}
	}
	s := d.suspects[key]
	if s == nil {
		return Decision{Action: Run}
	}
	incidents := len(s.incidents)
	if incidents >= serialIncidents && s.isRunning(now) {
		return Decision{Action: Hold, RetryAfter: holdRetryAfter, Deaths: incidents}
	}
	d.scratch = s.sequence(d.scratch[:0])
	if len(d.scratch) <= minLaterDeaths {
		return Decision{Action: Run, Deaths: incidents}
	}
	if wait := d.scratch[len(d.scratch)-1].at.Add(settleTime).Sub(now); wait > 0 {
		return Decision{Action: Hold, RetryAfter: min(wait, settleTime), Deaths: incidents}
	}
	if d.ordinaryDeathProbability(d.scratch) > d.options.FalsePositiveRate || d.hasCoSuspect(key, d.scratch) {
		return Decision{Action: Run, Deaths: incidents}
	}
	d.quarantine(key, now)
	return Decision{Action: Refuse, Deaths: incidents}
}

// hasCoSuspect reports whether another suspect was resident in every death of sequence but the
// first, so that either of them could be the cause.
func (d *Detector) hasCoSuspect(key Key, sequence []incident) bool {
	last := d.deaths[sequence[len(sequence)-1].death]
	if last == nil {
		return false
	}
	for i := range last.Residents {
		other := last.Residents[i].Key
		s := d.suspects[other]
		if other == key || s == nil {
			continue
		}
		if s.residentInAll(sequence[1:]) {
			return true
		}
	}
	return false
}

func (s *suspect) residentInAll(sequence []incident) bool {
	for i := range sequence {
		if !s.residentIn(sequence[i].death) {
			return false
		}
	}
	return true
}

// quarantine quarantines a request and removes the deaths it was part of from all other suspects.
func (d *Detector) quarantine(key Key, at time.Time) {
	if !d.quarantined.put(key, at) {
		return
	}
	d.log.add(change{quarantine: QuarantineNotice{Key: key, At: at}})
	d.removeSuspect(key)
	for _, death := range d.deaths {
		if death.hasResident(key) {
			d.attribute(death)
		}
	}
}

func (d *Detector) attribute(death *deathRecord) {
	death.attributed = true
	for i := range death.Residents {
		key := death.Residents[i].Key
		s := d.suspects[key]
		if s == nil {
			continue
		}
		s.drop(death.ID)
		if len(s.incidents) == 0 {
			d.removeSuspect(key)
		}
	}
}

// Stats are the sizes of a Detector's state. Convictions counts quarantined requests. The field
// names are part of the status response of an entry.
type Stats struct {
	Deaths      int
	Suspects    int
	Convictions int
}

// Stats returns the current sizes.
func (d *Detector) Stats() Stats {
	return Stats{Deaths: len(d.deaths), Suspects: len(d.suspects), Convictions: len(d.quarantined.times)}
}
