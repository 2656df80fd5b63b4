package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
)

// partSeeds is the number of days that are simulated for each case.
var partSeeds = flag.Int("part-seeds", 2, "simulated days of each kind")

const (
	oddsStep   = 20 * time.Millisecond
	oddsLength = 30 * time.Second
	// oddsDeadlyFrom is when the part becomes deadly, and oddsWindow the time after the fifth crash
	// from which requests with it count.
	oddsDeadlyFrom = 4 * time.Second
	oddsWindow     = 3 * time.Second
)

// oddsDay describes a simulated day.
type oddsDay struct {
	name string
	// entries, zones and servers are those of the deployment. rate is the number of requests a second.
	entries, zones, servers int
	rate                    float64
	// shared is the number of first parts, and sessions that of second parts, which a request picks.
	shared, sessions int
	// firstEvent is the mean time from the beginning of a run to its first event.
	firstEvent time.Duration
	// wave is the time between two losses of waveShare of the servers of a zone at once, and flap the
	// time between two losses of single servers.
	wave, flap time.Duration
	waveShare  float64
	// deadly is the share of requests with the deadly part. With deadlyFirst it is their first part.
	deadly      float64
	deadlyFirst bool
}

// oddsRun is a run that has not begun.
type oddsRun struct {
	entry, server int
	content       ContentHash
	parts         []PartID
	began         time.Time
	beginsAt      time.Time
	repeats       int
}

// oddsReport is a report under way to one entry.
type oddsReport struct {
	to    int
	at    time.Time
	crash *PartCrash
	begin *PartBegin
	parts *PartQuarantine
}

// oddsSimulation plays a day over several limiters.
type oddsSimulation struct {
	oddsDay
	random   *rand.Rand
	now      time.Time
	limiters []*PartLimiter
	runs     []oddsRun
	reports  []oddsReport
	upFrom   []time.Time
	starts   []int
	requests int
	// blamed are the sound parts that were quarantined, refused the sound requests that were refused.
	blamed  map[PartID]bool
	refused int
	// fifthAt is when the fifth server crashed by the deadly part, crashes the number of them, and late
	// the runs sent later than oddsWindow after it.
	fifthAt       time.Time
	crashes, late int
}

func newOddsSimulation(day oddsDay, seed uint64) *oddsSimulation {
	s := &oddsSimulation{oddsDay: day, random: rand.New(rand.NewPCG(seed, 1)), now: start, blamed: make(map[PartID]bool)}
	for range day.entries {
		s.limiters = append(s.limiters, NewPartLimiter())
	}
	s.upFrom, s.starts = make([]time.Time, day.servers), make([]int, day.servers)
	return s
}

func (s *oddsSimulation) play() {
	end := start.Add(oddsLength)
	var nextWave, nextFlap time.Time
	if s.wave > 0 {
		nextWave = start.Add(s.wave)
	}
	if s.flap > 0 {
		nextFlap = start.Add(s.flap)
	}
	for ; s.now.Before(end); s.now = s.now.Add(oddsStep) {
		s.deliver()
		if !nextWave.IsZero() && !s.now.Before(nextWave) {
			s.crashZone()
			nextWave = s.now.Add(s.wave)
		}
		if !nextFlap.IsZero() && !s.now.Before(nextFlap) {
			s.lose(s.random.IntN(s.servers))
			nextFlap = s.now.Add(s.flap)
		}
		for s.random.Float64() < s.rate*oddsStep.Seconds()/(1+s.rate*oddsStep.Seconds()) {
			s.arrive()
		}
		s.advance()
		s.settle()
	}
}

// arrive sends a new request.
func (s *oddsSimulation) arrive() {
	s.requests++
	parts := []PartID{PartID(1000 + s.random.IntN(s.shared)), PartID(100_000 + s.random.IntN(s.sessions))}
	if s.random.Float64() < s.deadly && s.now.Sub(start) >= oddsDeadlyFrom {
		parts = append(parts, deadlyPart)
		if s.deadlyFirst {
			parts = []PartID{deadlyPart, parts[1]}
		}
	}
	s.send(oddsRun{entry: s.random.IntN(s.entries), content: ContentHash(s.requests), parts: parts})
}

// send sends a run to a random server that is up, unless its entry refuses it.
func (s *oddsSimulation) send(run oddsRun) {
	deadly := slices.Contains(run.parts, deadlyPart)
	if q, _ := s.limiters[run.entry].Check(s.now, run.parts, run.entry == 0); q != nil {
		if !deadly {
			s.refused++
		}
		return
	}
	for range 20 {
		run.server = s.random.IntN(s.servers)
		if !s.upFrom[run.server].After(s.now) {
			break
		}
	}
	run.began = s.now
	run.beginsAt = s.now.Add(time.Duration(s.random.ExpFloat64()*float64(s.firstEvent)/2) + s.firstEvent/2)
	s.runs = append(s.runs, run)
	if deadly && !s.fifthAt.IsZero() && s.now.Sub(s.fifthAt) > oddsWindow {
		s.late++
	}
}

// advance lets runs begin, or crash their servers.
func (s *oddsSimulation) advance() {
	for i := 0; i < len(s.runs); i++ {
		run := s.runs[i]
		if run.beginsAt.After(s.now) {
			continue
		}
		if slices.Contains(run.parts, deadlyPart) {
			s.crashes++
			if s.crashes == 5 {
				s.fifthAt = s.now
			}
			s.lose(run.server)
			i = -1
			continue
		}
		s.runs = slices.Delete(s.runs, i, i+1)
		i--
		begin := PartBegin{Parts: run.parts, At: s.now}
		if cleared, _ := s.limiters[run.entry].Begin(begin); len(cleared) > 0 {
			s.tell(run.entry, oddsReport{begin: &PartBegin{Parts: cleared, At: s.now, Told: true}})
		}
	}
}

// crashZone loses waveShare of the servers of a random zone within 300 ms, as seen by the entries.
func (s *oddsSimulation) crashZone() {
	zone := s.random.IntN(s.zones)
	for server := range s.servers {
		if server%s.zones == zone && s.random.Float64() < s.waveShare {
			s.lose(server)
		}
	}
}

// lose ends a server with all its runs, which are sent again.
func (s *oddsSimulation) lose(server int) {
	if s.upFrom[server].After(s.now) {
		return
	}
	s.upFrom[server] = s.now.Add(3 * time.Second)
	s.starts[server]++
	identity := ServerStart{ID: wigeonfork.BackendServerID(fmt.Sprintf("i-%d-%d", server, s.starts[server]))}
	domain := wigeonfork.FailureDomain(fmt.Sprintf("zone-%d", server%s.zones))
	for _, l := range s.limiters {
		seen := s.now.Add(time.Duration(s.random.Int64N(int64(100 * time.Millisecond))))
		l.ServerLost(seen, identity, domain)
	}
	var lost []oddsRun
	s.runs = slices.DeleteFunc(s.runs, func(run oddsRun) bool {
		if run.server == server {
			lost = append(lost, run)
		}
		return run.server == server
	})
	for _, run := range lost {
		s.limiters[run.entry].RunLost(PartRun{Content: run.content, Server: identity, Parts: run.parts, Began: run.began, At: s.now}, domain, false)
		if run.repeats++; run.repeats < 4 {
			s.send(run)
		}
	}
}

// tell sends a report to all entries, of which three in a hundred don't get it.
func (s *oddsSimulation) tell(from int, r oddsReport) {
	for to := range s.limiters {
		if to == from || s.random.Float64() < 0.03 {
			continue
		}
		one := r
		one.to, one.at = to, s.now.Add(time.Duration(s.random.Int64N(int64(100*time.Millisecond))))
		s.reports = append(s.reports, one)
	}
}

// deliver applies the reports that have arrived.
func (s *oddsSimulation) deliver() {
	due := s.reports
	s.reports = nil
	for _, r := range due {
		if r.at.After(s.now) {
			s.reports = append(s.reports, r)
			continue
		}
		l := s.limiters[r.to]
		switch {
		case r.crash != nil:
			if _, sound := l.Merge(s.now, *r.crash); len(sound.Parts) > 0 {
				sound.Told = true
				s.tell(r.to, oddsReport{begin: &sound})
			}
		case r.begin != nil:
			l.Begin(*r.begin)
		default:
			l.MergeQuarantine(s.now, *r.parts)
		}
	}
}

// settle lets each entry judge, and tells the others.
func (s *oddsSimulation) settle() {
	for from, l := range s.limiters {
		for _, suspicion := range l.Settle(s.now) {
			s.tell(from, oddsReport{crash: &suspicion.PartCrash})
		}
		for _, v := range l.Verdicts(s.now) {
			s.tell(from, oddsReport{parts: &v.PartQuarantine})
			if !slices.Contains(v.Parts, deadlyPart) {
				s.blamed[v.Parts[0]] = true
			}
		}
	}
}

// The odds that a sound part is blamed and that a deadly one is caught in time: random waves of
// crashes, flapping servers, few and many shared parts, several entries whose reports are late or lost.
func TestPartLimiterOdds(t *testing.T) {
	small := oddsDay{entries: 4, zones: 3, servers: 39, rate: 9, shared: 4, sessions: 400, firstEvent: time.Second}
	large := oddsDay{entries: 31, zones: 3, servers: 143, rate: 29, shared: 42, sessions: 2000, firstEvent: time.Second}
	var days []oddsDay
	for _, base := range []oddsDay{small, large} {
		for _, kind := range []oddsDay{
			{name: "calm"},
			{name: "waves", wave: 6 * time.Second, waveShare: 0.9},
			{name: "close waves", wave: 2 * time.Second, waveShare: 0.9},
			{name: "flapping", flap: 400 * time.Millisecond},
			{name: "waves, slow", wave: 3 * time.Second, waveShare: 0.9, firstEvent: 3 * time.Second},
		} {
			for _, deadly := range []float64{0, 0.05, 0.3} {
				day := base
				day.name, day.wave, day.waveShare, day.flap, day.deadly = kind.name, kind.wave, kind.waveShare, kind.flap, deadly
				day.firstEvent = max(day.firstEvent, kind.firstEvent)
				days = append(days, day)
			}
		}
		first := base
		first.name, first.deadly, first.deadlyFirst = "deadly first part", 0.2, true
		days = append(days, first)
	}
	Convey("Hardly a sound request is refused, and the deadly part reaches three runners late at most", t, func() {
		requests, refused := 0, 0
		for _, day := range days {
			blamed, kept, late, crashes, dayRefused := 0, 0, 0, 0, 0
			for seed := range *partSeeds {
				s := newOddsSimulation(day, uint64(seed)+1)
				s.play()
				blamed += len(s.blamed)
				dayRefused += s.refused
				requests += s.requests
				crashes += s.crashes
				late = max(late, s.late)
				if s.late <= 3 {
					kept++
				}
			}
			refused += dayRefused
			t.Logf("%s, %d entries, deadly %.2f: sound parts blamed %.2f and sound requests refused %.2f a day, crashes %.1f, within the limit %d of %d, most late %d",
				day.name, day.entries, day.deadly, float64(blamed)/float64(*partSeeds), float64(dayRefused)/float64(*partSeeds),
				float64(crashes)/float64(*partSeeds), kept, *partSeeds, late)
			So(late, ShouldBeLessThanOrEqualTo, 3)
		}
		So(refused, ShouldBeLessThanOrEqualTo, requests/500)
	})
}
