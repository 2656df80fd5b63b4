package policy

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/routing"
)

// Targets set by the users, and limits of the runs.
const (
	firstTokenBound   = 870 * time.Millisecond
	gapBound          = 48 * time.Millisecond
	resumeBound       = 2 * time.Second
	extraBound        = 0.02 // repeated tokens / useful tokens
	goodputBound      = 0.90 // fraction of the capacity during an overload
	poisonBound       = 3    // engines lost to one poison request
	maxOverloadLength = 4 * time.Minute
	pooledSeedDivisor = 4 // simulateSeeds runs suite.seeds / pooledSeedDivisor seeds
)

// suite runs the experiments for one deployment.
type suite struct {
	report     *report
	deployment deployment
	seed       uint64
	length     time.Duration
	seeds      int
	capacity   float64
}

// Run runs all experiments for each deployment and prints their tables.
func Run(w io.Writer, o Options) (Result, error) {
	r := newReport(w, o.CSV)
	for _, d := range []deployment{regnsamler(), cairnmark()} {
		s := suite{report: r, deployment: d, seed: o.Seed, length: 10 * time.Minute, seeds: 40}
		if o.Quick {
			s.length, s.seeds = 2*time.Minute, 8
		}
		s.run()
	}
	return r.close()
}

func (s *suite) run() {
	s.calibrate()
	s.compareLoads()
	s.ablateTerms()
	s.overload()
	s.recovery()
	s.quarantine()
}

func (s *suite) base() scenario {
	return scenario{
		deployment: s.deployment, seed: s.seed, capacity: s.capacity,
		warmup: 30 * time.Second, length: s.length, load: steady(0.8),
	}
}

// calibrate measures the capacity in tokens per second. It offers 150% of the
// nominal capacity without admission control, so that every batch is full.
func (s *suite) calibrate() {
	s.capacity = nominalCapacity(&s.deployment)
	full := s.base()
	full.load, full.unlimited = steady(1.5), true
	full.length = 2 * time.Minute
	full.deployment.interactive = nil
	s.capacity = simulate(full).generated / full.length.Seconds()
	s.report.begin(s.deployment.name+" capacity", "tokens per second with every batch full")
	s.report.row("capacity", cell{column: "generated", value: s.capacity, format: asRate})
	s.report.end()
}

func nominalCapacity(d *deployment) float64 {
	sum := 0.0
	for _, e := range newEngines(d) {
		sum += slotsPerEngine / (e.gap * (1 + batchGrowth))
	}
	return sum
}

// compareLoads measures every chooser at several offered loads.
func (s *suite) compareLoads() {
	s.report.begin(s.deployment.name+" load", "p95 at steady load")
	for _, load := range []float64{0.6, 0.8, 0.95} {
		for _, chooser := range []chooser{byScore, byLeastOutstanding, byRoundRobin} {
			run := s.base()
			run.load, run.chooser = steady(load), chooser
			r := simulate(run)
			s.report.row(fmt.Sprintf("%.0f%% %s", 100*load, chooser), s.loadCells(r, load, chooser == byScore)...)
		}
	}
	s.report.end()
}

func (s *suite) loadCells(r *result, load float64, withTargets bool) []cell {
	var cells []cell
	for _, k := range s.deployment.profiles {
		var t *target
		if withTargets && (load < 0.9 || slices.Contains(s.deployment.interactive, k.class)) {
			t = atMost(firstTokenBound.Seconds())
		}
		cells = append(cells, timing("first "+k.class.String(), quantile(r.classes[k.class].firstToken, 95), t))
	}
	var t *target
	if withTargets {
		t = atMost(gapBound.Seconds())
	}
	cells = append(cells, timing("gap", quantile(r.mergeClasses(gaps), 95), t))
	return append(cells, percent("refused", r.refusedShare(), nil), percent("cached", r.cachedShare(), nil))
}

// ablateTerms disables the terms of the routing score, one at a time.
func (s *suite) ablateTerms() {
	s.report.begin(s.deployment.name+" terms", "80% load, one engine death a minute, one slow engine, each term left out")
	for _, t := range []struct {
		name string
		term routing.Term
	}{
		{"none", 0}, {"wait", routing.TermWait}, {"reports", routing.TermReports},
		{"prefix", routing.TermPrefix}, {"speed", routing.TermSpeed},
		{"domain", routing.TermDomain}, {"suspect", routing.TermSuspect}, {"bound", routing.TermBound},
	} {
		run := s.base()
		run.disabledTerms, run.deathsPerMin = t.term, 1
		run.faults = []fault{{at: time.Minute, duration: time.Minute, kind: faultSlow, engines: []int{0}}}
		s.report.row("without "+t.name, s.termCells(simulate(run))...)
	}
	s.report.end()
}

func (s *suite) termCells(r *result) []cell {
	all := r.mergeClasses(firstTokens)
	return []cell{
		timing("first p50", quantile(all, 50), nil),
		timing("first p95", quantile(all, 95), nil),
		timing("gap p50", quantile(r.mergeClasses(gaps), 50), nil),
		timing("gap p95", quantile(r.mergeClasses(gaps), 95), nil),
		timing("resume p99", quantile(r.resume, 99), nil),
		percent("cached", r.cachedShare(), nil),
		percent("extra", r.extraWork(), nil),
		number("moves", r.reassigned, nil),
	}
}

// overload offers 200% of the capacity during the middle half of a run.
func (s *suite) overload() {
	s.report.begin(s.deployment.name+" overload", "80% load, then 200%, then 80%")
	for _, c := range []struct {
		name      string
		chooser   chooser
		unlimited bool
	}{
		{"admission, score", byScore, false},
		{"admission, round robin", byRoundRobin, false},
		{"no admission, score", byScore, true},
		{"no admission, least outstanding", byLeastOutstanding, true},
	} {
		run := s.base()
		run.chooser, run.unlimited = c.chooser, c.unlimited
		run.window = 10 * time.Second
		run.length = min(run.length, maxOverloadLength)
		from, to := run.warmup+run.length/4, run.warmup+3*run.length/4
		run.tailFrom = to + 20*time.Second
		run.load = func(at time.Duration) float64 {
			if at >= from && at < to {
				return 2
			}
			return 0.8
		}
		r := simulate(run)
		s.report.row(c.name, s.overloadCells(r, from+10*time.Second, to, c.chooser == byScore && !c.unlimited)...)
	}
	s.report.end()
}

func (s *suite) overloadCells(r *result, from, to time.Duration, withTargets bool) []cell {
	var goodput, first, recovered *target
	if withTargets {
		goodput, first, recovered = atLeast(goodputBound), atMost(firstTokenBound.Seconds()), atMost(firstTokenBound.Seconds())
	}
	cells := []cell{
		percent("goodput of capacity", r.goodputBetween(from, to)/s.capacity, goodput),
		timing("first p95 after", quantile(r.tail, 95), recovered),
		number("refused after", r.tailRefused, nil),
	}
	for _, k := range s.deployment.profiles {
		var t *target
		if slices.Contains(s.deployment.interactive, k.class) {
			t = first
		}
		c := &r.classes[k.class]
		cells = append(cells, timing("first "+k.class.String(), quantile(c.firstToken, 95), t),
			percent("finished "+k.class.String(), share(c.finished-c.late, c.offered), nil))
	}
	return cells
}

func share(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// recovery measures how streams resume after several kinds of engine failure.
func (s *suite) recovery() {
	s.report.begin(s.deployment.name+" recovery", "80% load with engines lost")
	var domain, rack []int
	for i := range s.deployment.engines {
		if i%domainCount == 0 {
			domain = append(domain, i)
		}
		if i%domainCount == 1 && len(rack) < 4 {
			rack = append(rack, i)
		}
	}
	at := time.Minute
	for _, c := range []struct {
		name   string
		deaths float64
		faults []fault
	}{
		{"one engine death a minute", 1, nil},
		{"a rack of 4 engines lost", 0, []fault{{at: at, kind: faultDeath, engines: rack}}},
		{"a failure domain lost", 0, []fault{{at: at, kind: faultDeath, engines: domain}}},
		{"an engine at a tenth for 60 s", 0, []fault{{at: at, duration: time.Minute, kind: faultSlow, engines: []int{3}}}},
		{"an engine stopped for 10 s", 0, []fault{{at: at, duration: 10 * time.Second, kind: faultStop, engines: []int{3}}}},
		{"an engine deaf for 60 s", 0, []fault{{at: at, duration: time.Minute, kind: faultUnresponsive, engines: []int{3}}}},
	} {
		run := s.base()
		run.deathsPerMin, run.faults = c.deaths, c.faults
		r := s.simulateSeeds(run)
		var extra *target
		if c.deaths > 0 {
			extra = atMost(extraBound)
		}
		s.report.row(c.name, s.recoveryCells(r, extra)...)
	}
	s.report.end()
}

// simulateSeeds merges runs of several seeds, so that rare events give enough
// samples for tail quantiles.
func (s *suite) simulateSeeds(run scenario) *result {
	run.length = 2 * time.Minute
	var sum *result
	for n := range max(1, s.seeds/pooledSeedDivisor) {
		run.seed = s.seed + uint64(n)
		r := simulate(run)
		if sum == nil {
			sum = r
		} else {
			sum.merge(r)
		}
	}
	return sum
}

func (s *suite) recoveryCells(r *result, extra *target) []cell {
	cells := []cell{
		number("resumed", int(r.resume.TotalCount()), nil),
		timing("resume p50", quantile(r.resume, 50), nil),
		timing("resume p99", quantile(r.resume, 99), atMost(resumeBound.Seconds())),
		number("resumes refused", r.resumesRefused, atMost(0)),
		percent("extra", r.extraWork(), extra),
		number("moves", r.reassigned, nil),
		number("innocents refused", r.innocentsRefused, atMost(0)),
	}
	for _, k := range s.deployment.profiles {
		cells = append(cells, percent("refused "+k.class.String(), share(r.classes[k.class].refused, r.classes[k.class].offered), nil))
	}
	return cells
}

// quarantine sends requests that crash their engines, at several rates of engine
// deaths that no request causes.
func (s *suite) quarantine() {
	s.report.begin(s.deployment.name+" quarantine", fmt.Sprintf("%d seeds each, one poison request a minute, resent up to %d times", s.seeds, poisonResends))
	for _, rate := range []float64{0, 1, 5, 25} {
		var sum poisonTotals
		for n := range s.seeds {
			run := s.base()
			run.seed += uint64(n)
			run.load = steady(0.6)
			run.length = 4 * time.Minute
			run.deathsPerMin = rate
			for at := run.warmup; at < run.end()-time.Minute; at += time.Minute {
				run.poisons = append(run.poisons, at)
			}
			sum.add(simulate(run))
		}
		s.report.row(fmt.Sprintf("%g ordinary deaths a minute", rate), sum.cells()...)
	}
	s.report.end()
}

// poisonTotals sums the results of runs with poison requests.
type poisonTotals struct {
	poisons, enginesLost, mostLost, overBound, innocents, held, deaths int
}

func (p *poisonTotals) add(r *result) {
	for _, lost := range r.poisons {
		p.poisons++
		p.enginesLost += lost
		p.mostLost = max(p.mostLost, lost)
		if lost > poisonBound {
			p.overBound++
		}
	}
	p.innocents += r.innocentsRefused
	p.held += r.held
	p.deaths += r.deaths
}

func (p *poisonTotals) cells() []cell {
	mean := 0.0
	if p.poisons > 0 {
		mean = float64(p.enginesLost) / float64(p.poisons)
	}
	return []cell{
		number("poison requests", p.poisons, nil),
		number("engine deaths", p.deaths, nil),
		{column: "engines lost each", value: mean, format: func(v float64) string { return fmt.Sprintf("%.2f", v) }},
		number("most", p.mostLost, atMost(poisonBound)),
		number("over the bound", p.overBound, nil),
		number("innocents refused", p.innocents, atMost(0)),
		number("held", p.held, nil),
	}
}

func (r *result) refusedShare() float64 {
	refused, offered := 0, 0
	for i := range wigeonfork.NumClasses {
		refused += r.classes[i].refused
		offered += r.classes[i].offered
	}
	return share(refused, offered)
}

func (r *result) cachedShare() float64 {
	if r.prefillTokens == 0 {
		return 0
	}
	return r.cachedTokens / r.prefillTokens
}

// goodputBetween returns the useful tokens per second over the windows that lie
// entirely between two times.
func (r *result) goodputBetween(from, to time.Duration) float64 {
	w := r.scenario.window
	sum, n := 0.0, 0
	for i, tokens := range r.windows {
		begin := time.Duration(i) * w
		if begin >= from && begin+w <= to {
			sum += tokens
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / (float64(n) * w.Seconds())
}
