package moves

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/wigeonfork/wigeonfork/rollout"
)

// result is the outcome of one move.
type result struct {
	doneInTime    bool
	reverted      bool
	requests      int
	harmed        int
	sentAfterStop int
	canaryShare   float64
	serverHours   float64 // server-hours with both versions
	// reportBytes is the size of one entry's reports as JSON, over reportSeconds.
	reportBytes, reportSeconds int
}

// clockStart is the date at which virtual time begins.
var clockStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(now time.Duration) time.Time { return clockStart.Add(now) }

// entry is one process that routes requests.
type entry struct {
	splitter   *rollout.TrafficSplitter
	collector  *rollout.Collector
	localJudge *rollout.Judge
	// updates are shares in transit.
	updates []shareUpdate
}

type shareUpdate struct {
	at     time.Duration
	shares rollout.Shares
}

// trial is one move under one policy.
type trial struct {
	*stream
	entries   []*entry
	driver    driver
	result    result
	stoppedAt time.Duration
	canary    shareCount
	// newVersionErrors is what the baselines evaluate. They reset it in each window.
	newVersionErrors errorCount
	// movedInTime says that the splitters of all entries sent all requests to the new
	// version when afterStopLimit had passed after the deadline.
	movedInTime bool
	collecting  bool
}

type errorCount struct{ starts, errors int }

type shareCount struct{ new, all int }

// driver is a policy that drives a move.
type driver interface {
	// step is called once every virtual second.
	step(now time.Duration)
	// state returns the state of the move and the time at which it finished.
	state() (state rollout.State, finished time.Duration)
}

const (
	// Shares reach an entry after a delay between these.
	minShareDelay = 200 * time.Millisecond
	maxShareDelay = 1500 * time.Millisecond
	// afterStopLimit is how long after a stop requests may still go to the version.
	afterStopLimit = 2 * time.Second
	// settleTime is longer than any request.
	settleTime = 200 * time.Second
	// extraTime is how long a move is observed after the deadline.
	extraTime = 4 * time.Minute
)

func runMove(seed uint64, key resultKey, index int) result {
	t := &trial{stream: newStream(seed, key.kind, index), stoppedAt: -1, collecting: key.policy == policyRollout}
	return runMoveTrial(t, key.policy)
}

// runMoveTrial runs t under a policy and returns the result.
func runMoveTrial(t *trial, p policy) result {
	versions := rollout.VersionPair{Old: oldVersion, New: newVersion}
	for i := range entryCount {
		t.entries = append(t.entries, &entry{
			splitter:   rollout.NewTrafficSplitter(moveID, versions),
			collector:  rollout.NewCollector(fmt.Sprintf("e%d", i), versions),
			localJudge: rollout.NewJudge(rollout.JudgeConfig{FalseStopProbability: rollout.DefaultFalseStopProbability / (2 * entryCount), Horizon: moveTime}),
		})
	}
	t.driver = newDriver(p, t)
	t.run()
	return t.result
}

func (t *trial) run() {
	steps := int((moveTime + extraTime) / stepTime)
	second := int(time.Second / stepTime)
	for step := range steps {
		now := time.Duration(step) * stepTime
		t.deliverShares(now)
		t.killDueEngines(now)
		t.loadWeights(now)
		t.reportDueRequests(step, now)
		t.sendRequests(step, now)
		if step%second == 0 {
			t.driver.step(now)
		}
		t.countServerHours()
		if now == moveTime+afterStopLimit {
			t.movedInTime = t.allOnNewVersion()
		}
		if t.settled(now) {
			break
		}
	}
	t.finish()
}

// measureReportSize adds up the size of one entry's reports in the first
// minute of every ten.
func (t *trial) measureReportSize(now time.Duration, evidence *rollout.Evidence) {
	if now%(10*time.Minute) >= time.Minute || evidence.Source != "e0" {
		return
	}
	t.result.reportSeconds++
	if evidence.Empty() {
		return
	}
	body, err := json.Marshal(evidence)
	if err != nil {
		panic(err)
	}
	t.result.reportBytes += len(body)
}

// settled reports whether a version was reverted and its last request has ended.
func (t *trial) settled(now time.Duration) bool {
	state, _ := t.driver.state()
	return state == rollout.StateReverted && now > t.stoppedAt+settleTime
}

// deliverShares applies the shares that have reached their entries.
func (t *trial) deliverShares(now time.Duration) {
	for _, e := range t.entries {
		kept := e.updates[:0]
		for _, u := range e.updates {
			if u.at > now {
				kept = append(kept, u)
				continue
			}
			e.splitter.Apply(u.shares)
		}
		e.updates = kept
	}
}

// setShares sends shares to all entries.
func (t *trial) setShares(now time.Duration, shares rollout.Shares) {
	if shares.Stopped {
		t.recordStop(now)
	}
	for _, e := range t.entries {
		delay := time.Duration(uniform(t.r, float64(minShareDelay), float64(maxShareDelay)))
		e.updates = append(e.updates, shareUpdate{at: now + delay, shares: shares})
	}
}

func (t *trial) recordStop(now time.Duration) {
	if t.stoppedAt < 0 {
		t.stoppedAt = now
	}
}

// killDueEngines ends the engines whose next ordinary death is due. It brings back
// the engines whose restart has ended. An ordinary death is one that no request causes.
func (t *trial) killDueEngines(now time.Duration) {
	for i := range t.servers {
		v := &t.servers[i]
		if v.down && now >= v.downUntil {
			v.down = false
			v.holdsOld = v.holdsOld || !v.holdsNew
		}
		if now >= v.nextDeath {
			t.killEngine(now, i, false)
			v.nextDeath = now + t.timeToDeath(i)
		}
	}
}

// killEngine ends an engine and all requests on it. The engine loses the new version.
func (t *trial) killEngine(now time.Duration, i int, byVersion bool) {
	v := &t.servers[i]
	if v.down {
		return
	}
	v.down = true
	v.downUntil = now + restartTime
	v.holdsNew = false
	v.weightBytesLeft = 0
	for _, e := range t.entries {
		e.collector.EngineRestarted(v.ID)
	}
	for slot := range t.ring {
		for k := range t.ring[slot] {
			q := &t.ring[slot][k]
			if q.server != i || q.done || !q.isEnd {
				continue
			}
			q.done = true
			t.ended(now, q, rollout.OutcomeEngineDeath, byVersion)
		}
	}
}

// loadWeights divides the weight store's rate among the loads in progress.
func (t *trial) loadWeights(now time.Duration) {
	active := 0
	for i := range t.servers {
		if t.servers[i].weightBytesLeft > 0 {
			active++
		}
	}
	if active == 0 {
		return
	}
	bytes := float64(weightRate) * stepTime.Seconds() / float64(active)
	for i := range t.servers {
		v := &t.servers[i]
		if v.weightBytesLeft <= 0 {
			continue
		}
		v.weightBytesLeft -= bytes
		if v.weightBytesLeft <= 0 {
			v.holdsNew = true
			v.newSince = now
		}
	}
}

// reportDueRequests reports the due first tokens and ends of requests to the entries.
func (t *trial) reportDueRequests(step int, now time.Duration) {
	slot := step % ringSize
	for k := range t.ring[slot] {
		q := &t.ring[slot][k]
		if q.done {
			continue
		}
		if !q.isEnd {
			t.firstToken(now, q)
			continue
		}
		q.done = true
		if q.end == rollout.OutcomeEngineDeath {
			t.ended(now, q, q.end, true)
			t.killEngine(now, q.server, true)
			continue
		}
		t.ended(now, q, q.end, false)
	}
	t.ring[slot] = t.ring[slot][:0]
}

func (t *trial) firstToken(now time.Duration, q *request) {
	if !t.collecting {
		return
	}
	s := t.sample(q)
	s.FirstToken = q.firstToken
	t.entries[q.entry].collector.Observed(at(now), s)
}

func (t *trial) ended(now time.Duration, q *request, outcome rollout.Outcome, byVersion bool) {
	if q.harmed || byVersion {
		t.result.harmed++
	}
	if q.isNew && outcome != rollout.OutcomeOK {
		t.newVersionErrors.errors++
	}
	if !t.collecting {
		return
	}
	s := t.sample(q)
	s.Outcome = outcome
	if outcome == rollout.OutcomeOK {
		s.InterToken = q.interToken
	}
	t.entries[q.entry].collector.Observed(at(now), s)
}

func (t *trial) sample(q *request) rollout.Sample {
	v := &t.servers[q.server]
	version := oldVersion
	if q.isNew {
		version = newVersion
	}
	return rollout.Sample{Start: rollout.Start{
		Version: version,
		Stratum: rollout.Stratum{Route: t.routes.names[q.route], Load: q.load, Server: v.ID},
		Host:    v.Host,
		Domain:  v.Domain,
	}}
}

// sendRequests starts the requests that arrive in a step.
func (t *trial) sendRequests(step int, now time.Duration) {
	for range t.arrivals(now) {
		q := request{entry: t.r.IntN(entryCount), route: t.pickRoute(now)}
		e := t.entries[q.entry]
		q.isNew = e.splitter.Choose(t.routes.names[q.route]) == newVersion
		q.server = t.pickServer(q.isNew)
		if q.server < 0 {
			q.isNew = !q.isNew && !e.splitter.Stopped()
			q.server = t.pickServer(q.isNew)
		}
		t.result.requests++
		t.countShare(now, &q)
		if q.server < 0 {
			continue
		}
		t.drawBehavior(now, &q)
		if q.isNew {
			t.newVersionErrors.starts++
		}
		if t.collecting {
			e.collector.Started(at(now), t.sample(&q).Start)
		}
		if q.end != rollout.OutcomeError {
			t.schedule(step, q.firstToken, q)
		}
		duration := t.duration(&q)
		q.isEnd = true
		t.schedule(step, duration, q)
	}
}

func (t *trial) countShare(now time.Duration, q *request) {
	state, _ := t.driver.state()
	if state == rollout.StateCanary {
		t.canary.all++
		if q.isNew {
			t.canary.new++
		}
	}
	if q.isNew && t.stoppedAt >= 0 && now > t.stoppedAt+afterStopLimit {
		t.result.sentAfterStop++
	}
}

// countServerHours adds up the time for which servers hold the old version and hold
// or load the new one.
func (t *trial) countServerHours() {
	for i := range t.servers {
		v := &t.servers[i]
		if v.holdsOld && (v.holdsNew || v.weightBytesLeft > 0) {
			t.result.serverHours += stepTime.Hours()
		}
	}
}

func (t *trial) allOnNewVersion() bool {
	for _, e := range t.entries {
		if e.splitter.NewShare() != rollout.AllTraffic {
			return false
		}
	}
	return true
}

func (t *trial) finish() {
	state, finished := t.driver.state()
	t.result.reverted = state == rollout.StateReverting || state == rollout.StateReverted
	t.result.doneInTime = state == rollout.StateDone && finished <= moveTime && t.movedInTime
	if t.canary.all > 0 {
		t.result.canaryShare = float64(t.canary.new) / float64(t.canary.all)
	}
}
