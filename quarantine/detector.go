package quarantine

import (
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	settleTime       = 100 * time.Millisecond // for reports of deaths at the same time
	holdRetryAfter   = time.Second
	completedIsValid = 10 * time.Minute
	maxCharges       = 8 // remembered for one suspect
	elsewhereIsValid = 5 * time.Second
	serialCharges    = 2 // from which runs of a suspect do not overlap
)

// record is a death as it is remembered.
type record struct {
	Death
	explained bool // put down to a quarantined request
}

// Detector holds what one process knows of the requests that crash engines.
type Detector struct {
	options   Options
	servers   int
	deaths    map[DeathID]*record
	recent    []DeathID // in order of arrival
	suspects  map[Key]*suspect
	convicted bounded[Key]
	completed bounded[Key]
	runs      map[wigeonfork.BackendServerID]int // runs of suspects by server
	retained  map[wigeonfork.Version]bool
	order     uint64
	log       changes
	scratch   []charge
}

// New returns a Detector that suspects nothing.
func New(options Options) *Detector {
	options = options.withDefaults()
	return &Detector{
		options:   options,
		deaths:    make(map[DeathID]*record),
		suspects:  make(map[Key]*suspect),
		runs:      make(map[wigeonfork.BackendServerID]int),
		convicted: newBounded[Key](options.MaxQuarantined),
		completed: newBounded[Key](options.MaxCompleted),
	}
}

// SetServerCount tells the number of engines, by which the rate of ordinary
// deaths is taken.
func (d *Detector) SetServerCount(n int) { d.servers = n }

// RetainVersions forgets every version but the given ones, and what peers say of the
// others is ignored from then on.
func (d *Detector) RetainVersions(versions []wigeonfork.Version) {
	d.retained = make(map[wigeonfork.Version]bool, len(versions))
	for _, v := range versions {
		d.retained[v] = true
	}
	for key := range d.suspects {
		if !d.keeps(key) {
			d.forget(key)
		}
	}
	d.convicted.filter(d.keeps)
	d.completed.filter(d.keeps)
}

func (d *Detector) keeps(key Key) bool {
	return d.retained == nil || d.retained[key.Version]
}

// EngineDied takes in the death of an engine. The same death may be reported by
// several observers, each with the residents that it knows.
func (d *Detector) EngineDied(now time.Time, death Death) {
	if death.At.IsZero() {
		death.At = now
	}
	d.apply(death)
}

func (d *Detector) apply(death Death) {
	known := d.deaths[death.ID]
	first := known == nil
	if first {
		known = &record{Death: Death{ID: death.ID, At: death.At}}
		d.remember(known)
	}
	var fresh []Resident
	for _, r := range death.Residents {
		if !known.holds(r.Key) {
			fresh = append(fresh, r)
		}
	}
	if !first && len(fresh) == 0 {
		return
	}
	known.Residents = append(known.Residents, fresh...)
	d.log.add(change{death: Death{ID: known.ID, At: known.At, Residents: fresh}})
	d.chargeAll(known, fresh)
}

func (r *record) holds(key Key) bool {
	for i := range r.Residents {
		if r.Residents[i].Key == key {
			return true
		}
	}
	return false
}

func (d *Detector) chargeAll(death *record, residents []Resident) {
	for _, r := range residents {
		if d.convicted.has(r.Key) {
			death.explained = true
		}
	}
	for _, r := range residents {
		d.charge(death, r)
	}
}

// charge makes a resident a suspect, unless it has completed lately or the
// death is explained.
func (d *Detector) charge(death *record, r Resident) {
	if death.explained || !d.keeps(r.Key) || d.convicted.has(r.Key) {
		return
	}
	if at, ok := d.completed.times[r.Key]; ok && death.At.Sub(at) < completedIsValid {
		d.log.add(change{clearance: CompletionNotice{Key: r.Key, At: at}})
		return
	}
	s := d.suspects[r.Key]
	if s == nil {
		s = d.newSuspect(r.Key)
	}
	if len(s.charges) < maxCharges && !s.charged(death.ID) {
		s.add(newCharge(death, r))
	}
	d.unplace(s, death.ID.Server)
	if death.At.After(s.elsewhere) {
		s.elsewhere = time.Time{}
	}
}

func (d *Detector) newSuspect(key Key) *suspect {
	if len(d.suspects) >= d.options.MaxSuspects {
		d.evict()
	}
	d.order++
	s := &suspect{order: d.order}
	d.suspects[key] = s
	return s
}

// evict drops the quarter of the suspects with the fewest charges, the oldest
// first, so that its cost is spread over many additions.
func (d *Detector) evict() {
	keys := make([]Key, 0, len(d.suspects))
	for key := range d.suspects {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		sa, sb := d.suspects[a], d.suspects[b]
		if len(sa.charges) != len(sb.charges) {
			return len(sa.charges) - len(sb.charges)
		}
		return int(int64(sa.order) - int64(sb.order))
	})
	for _, key := range keys[:max(1, len(keys)/4)] {
		d.forget(key)
	}
}

func (d *Detector) remember(r *record) {
	if len(d.recent) >= d.options.MaxDeaths {
		delete(d.deaths, d.recent[0])
		d.recent = slices.Delete(d.recent, 0, 1)
	}
	d.recent = append(d.recent, r.ID)
	d.deaths[r.ID] = r
}

// Started records that a request runs on a server.
func (d *Detector) Started(now time.Time, key Key, server wigeonfork.BackendServerID) {
	s := d.suspects[key]
	if s == nil {
		return
	}
	s.running = append(s.running, server)
	d.runs[server]++
	if len(s.charges) >= serialCharges {
		d.log.add(change{attempt: RunNotice{Key: key, At: now}})
	}
}

// Stopped records that a run ended without completing.
func (d *Detector) Stopped(_ time.Time, key Key, server wigeonfork.BackendServerID) {
	if s := d.suspects[key]; s != nil {
		d.unplace(s, server)
	}
}

func (d *Detector) unplace(s *suspect, server wigeonfork.BackendServerID) {
	i := slices.Index(s.running, server)
	if i < 0 {
		return
	}
	s.running = slices.Delete(s.running, i, i+1)
	d.runs[server]--
	if d.runs[server] == 0 {
		delete(d.runs, server)
	}
}

// forget drops a suspect and the record of its runs.
func (d *Detector) forget(key Key) {
	s := d.suspects[key]
	if s == nil {
		return
	}
	for len(s.running) > 0 {
		d.unplace(s, s.running[0])
	}
	delete(d.suspects, key)
}

// Completed records that a request ran to its end, which clears it.
func (d *Detector) Completed(now time.Time, key Key) {
	d.completed.put(key, now)
	if d.suspects[key] != nil {
		d.clear(key, now)
	}
}

// clear takes back the charges up to shortly after a completion.
func (d *Detector) clear(key Key, at time.Time) {
	if s := d.suspects[key]; s != nil {
		s.charges = slices.DeleteFunc(s.charges, func(c charge) bool {
			return c.at.Sub(at) < completedIsValid
		})
		if len(s.charges) == 0 {
			d.forget(key)
		}
	}
	d.log.add(change{clearance: CompletionNotice{Key: key, At: at}})
}

// Check decides whether a request may run.
func (d *Detector) Check(now time.Time, key Key) Decision {
	if d.convicted.has(key) {
		return Decision{Action: Refuse}
	}
	s := d.suspects[key]
	if s == nil {
		return Decision{Action: Run}
	}
	charges := len(s.charges)
	if charges >= serialCharges && s.runs(now) {
		return Decision{Action: Hold, RetryAfter: holdRetryAfter, Deaths: charges}
	}
	d.scratch = s.sequence(d.scratch[:0])
	if len(d.scratch) <= minEvidence {
		return Decision{Action: Run, Deaths: charges}
	}
	if wait := d.scratch[len(d.scratch)-1].at.Add(settleTime).Sub(now); wait > 0 {
		return Decision{Action: Hold, RetryAfter: min(wait, settleTime), Deaths: charges}
	}
	if d.chance(d.scratch) > d.options.FalsePositiveRate || d.shared(key, d.scratch) {
		return Decision{Action: Run, Deaths: charges}
	}
	d.convict(key, now)
	return Decision{Action: Refuse, Deaths: charges}
}

// shared tells whether another suspect was part of every death that is evidence
// in a sequence, so that either could be the cause.
func (d *Detector) shared(key Key, sequence []charge) bool {
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
		if s.chargedWithAll(sequence[1:]) {
			return true
		}
	}
	return false
}

func (s *suspect) chargedWithAll(sequence []charge) bool {
	for i := range sequence {
		if !s.charged(sequence[i].death) {
			return false
		}
	}
	return true
}

// convict quarantines a request and takes its deaths off the other suspects.
func (d *Detector) convict(key Key, at time.Time) {
	if !d.convicted.put(key, at) {
		return
	}
	d.log.add(change{conviction: QuarantineNotice{Key: key, At: at}})
	d.forget(key)
	for _, death := range d.deaths {
		if death.holds(key) {
			d.explain(death)
		}
	}
}

func (d *Detector) explain(death *record) {
	death.explained = true
	for i := range death.Residents {
		key := death.Residents[i].Key
		s := d.suspects[key]
		if s == nil {
			continue
		}
		s.drop(death.ID)
		if len(s.charges) == 0 {
			d.forget(key)
		}
	}
}

// Stats counts what a Detector holds.
type Stats struct {
	Deaths      int
	Suspects    int
	Convictions int
}

// Stats returns the present counts.
func (d *Detector) Stats() Stats {
	return Stats{Deaths: len(d.deaths), Suspects: len(d.suspects), Convictions: len(d.convicted.times)}
}
