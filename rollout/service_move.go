package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/storepos"
)

// MoveOrder orders the move of a service's traffic to servers of another version, which run beside
// the present ones.
type MoveOrder struct {
	Service wigeonfork.Model
	To      wigeonfork.Version
	// Duration is the time from the order to the deadline.
	Duration time.Duration
	// Position is where the order was written in the store. It identifies the order. A later order
	// has a later one.
	Position storepos.Position
}

// Stage is how far a ServiceMove has come. Stages only rise.
type Stage uint8

// The stages.
const (
	// StageTrial: the new version gets a part of the exposure limits and is compared with the
	// old one.
	StageTrial Stage = iota
	// StageStopped: the new version is bad and gets no requests.
	StageStopped
	// StageCompleted: the old version is gone.
	StageCompleted
)

var stageNames = [...]string{"trial", "stopped", "completed"}

// String returns the name of s.
func (s Stage) String() string { return stageNames[s] }

// ExposureLimits bounds the requests that a version may get before its deadline if it turns out to
// be bad, over all entries: Share of the service's requests, plus Slack.
type ExposureLimits struct {
	Share float64
	Slack float64
}

const (
	// exposureFraction is the fraction of the exposure limits that is used. The rest allows for
	// retries and for requests in transit when the version is stopped.
	exposureFraction = 0.8
	// initialFraction is the fraction of an entry's allowance that it may use at once. The rest
	// is spread over the move, most of it late, since a version that turns bad late is noticed
	// only by requests that are sent after that.
	initialFraction = 0.25
	// maxFinishMargin bounds the time before the deadline at which the move is completed. It is at
	// most finishFraction of the duration, since the new version gets all requests from then on.
	maxFinishMargin = 1200 * time.Millisecond
	finishFraction  = 0.07
	// maxHandover bounds the time for which a version that is to be completed gets all requests
	// before that, so that those at old servers end first. leaderDelay is the time by which the
	// second leader acts later than the first. Each is at most stepFraction of the finish margin.
	maxHandover  = 200 * time.Millisecond
	leaderDelay  = 400 * time.Millisecond
	stepFraction = 1.0 / 3
	// minTrialResults is the number of good results of the new version that are wanted before
	// backups are kept there.
	minTrialResults = 8
	// minCapacity is the number of usable new servers that the completion needs, as a fraction
	// of the usable old ones.
	minCapacity = 0.6
	// maxEndSuspicion is the suspicion from which a version is not completed.
	maxEndSuspicion = 0.4
	// minOldResults is the number of results of the old version below which they say nothing of what is usual.
	// A version that then fails more than maxUnmatchedFailures of its requests, or is slow in more than maxUnmatchedSlow of
	// them, is not completed.
	minOldResults        = 8
	maxUnmatchedFailures = 0.1
	maxUnmatchedSlow     = 0.4
	// maxMoveRoutes bounds the routes judged separately.
	maxMoveRoutes = 24
)

// FleetView is an entry's view of the servers of a service under a move.
type FleetView struct {
	// OldUsable and NewUsable are the numbers of servers that take requests.
	OldUsable, NewUsable int
	// Left is what this entry still runs at the old version.
	Left Unrepeatable
	// Rank is the rank of this entry as leader. The first leads, and the second makes up for one
	// that has just ended. The others only follow.
	Rank int
}

// IsLeader reports whether an entry of the given rank takes the steps of a move.
func IsLeader(rank int) bool { return rank <= 1 }

// ServiceMove decides at one entry which version the requests of a service under a move are sent
// to, and judges the new version by the results of all entries that report.
//
// Each entry sends the new version at most its part of the exposure limits, so that all together
// keep within them without communication. A version is stopped once its results are worse than
// those of the old one with an error probability of at most moveStopProbability. The move is
// completed as late as the deadline allows, since there is no version to go back to after that. The
// runs that then still are at old servers go on from backups at new ones.
//
// ServiceMove is a deterministic decision type: times are arguments, and it does no I/O. It is not
// safe for concurrent use.
type ServiceMove struct {
	Order MoveOrder
	// From is the version for the requests that are not sent to the new one.
	From wigeonfork.Version
	// substitute is the version to use after the completion if the new one has no usable servers, and the new one otherwise.
	substitute wigeonfork.Version
	limits     ExposureLimits
	began      time.Time
	deadline   time.Time
	// known is the number of entries, 0 if it is not known. An entry without history, that has
	// started during the move, does not know what was sent before. It assumes that spent, a fraction
	// of its allowance, was used until createdAt.
	known      int
	hasHistory bool
	createdAt  time.Time
	spent      float64
	// offset in [0, 1) is added to this entry's allowance. Those of the entries differ, so that
	// together they use fractions of a request.
	offset float64
	// confirmed is set once it is known that the move has not ended.
	confirmed bool

	own   MoveReport
	peers map[string]MoveReport
	// heardAt is when each peer last reported.
	heardAt map[string]time.Time
	// reportedRoutes is the number of routes reported so far, repetitions included.
	reportedRoutes int

	stage     Stage
	reason    string
	suspicion float64
	// all holds the results of all entries over all routes, as of the last step.
	all RouteResults
	// half holds the results by route as of half of the time, or nil before. Those since are judged
	// by themselves too, since a version may turn bad late.
	half map[Route]RouteResults
	// enoughServers is set if the new version had servers enough to be completed as of the last
	// step, and finishing once a leader has decided to complete the move.
	enoughServers, finishing bool
}

// NewServiceMove returns the move of an order whose deadline is left from now. hasHistory is set if
// this entry has seen the move from its start. random is a random number in [0, 1).
func NewServiceMove(now time.Time, order MoveOrder, from wigeonfork.Version, left time.Duration, limits ExposureLimits, hasHistory bool, random float64) *ServiceMove {
	m := &ServiceMove{
		Order: order, From: from, substitute: order.To, limits: limits, began: now.Add(left - order.Duration), deadline: now.Add(left),
		hasHistory: hasHistory, createdAt: now, offset: random,
		own: MoveReport{HasHistory: hasHistory, Results: make(map[Route]RouteResults)}, peers: make(map[string]MoveReport),
		heardAt: make(map[string]time.Time),
	}
	if !hasHistory {
		m.spent = m.usableFraction(now)
	}
	return m
}

// Shorten brings the deadline forward to left from now if it is later, since an entry that learns late
// of an order takes the deadline to be too late.
func (m *ServiceMove) Shorten(now time.Time, left time.Duration) {
	excess := m.deadline.Sub(now) - left
	if excess <= 0 {
		return
	}
	before := m.usableFraction(now)
	m.began, m.deadline = m.began.Add(-excess), m.deadline.Add(-excess)
	if !m.hasHistory {
		m.spent += m.usableFraction(now) - before
	}
}

// SetTrusted replaces the version for the requests that are not sent to the new one, or after the completion the one
// for all requests, if the new one has lost its servers. The results of the former one are kept. It returns the former
// one, and whether the version has changed.
func (m *ServiceMove) SetTrusted(version wigeonfork.Version) (former wigeonfork.Version, changed bool) {
	trusted := &m.From
	if m.stage == StageCompleted {
		trusted = &m.substitute
	}
	former, *trusted = *trusted, version
	return former, former != version
}

// SetEntries sets the number of entries, this one included.
func (m *ServiceMove) SetEntries(known int) { m.known = known }

// SetLimits replaces the exposure limits. What was sent is kept.
func (m *ServiceMove) SetLimits(limits ExposureLimits) { m.limits = limits }

// Confirmed reports whether Advance was called, so that the stored state is known.
func (m *ServiceMove) Confirmed() bool { return m.confirmed }

// Stage returns the stage, and the reason for which the version was stopped.
func (m *ServiceMove) Stage() (Stage, string) { return m.stage, m.reason }

// Left returns the time to the deadline.
func (m *ServiceMove) Left(now time.Time) time.Duration { return m.deadline.Sub(now) }

// Advance raises the stage to that which the store or a confirmed entry reports. It returns whether
// that is a change.
func (m *ServiceMove) Advance(stage Stage, reason string) bool {
	m.confirmed = true
	if stage <= m.stage {
		return false
	}
	m.stage, m.reason = stage, reason
	return true
}

// Preference lists the versions that the next request may be sent to, the wanted one first.
func (m *ServiceMove) Preference(now time.Time) []wigeonfork.Version {
	switch {
	case m.stage == StageCompleted:
		return m.preferenceCompleted()
	case m.stage == StageTrial && m.mayTry(now):
		return []wigeonfork.Version{m.Order.To, m.From}
	case m.handsOver(now):
		return []wigeonfork.Version{m.Order.To, m.From}
	case m.stage == StageTrial && m.confirmed && m.timeIsUp(now, 0) && m.triedWell():
		// The old servers may have ended with a completion that is not known here yet.
		return []wigeonfork.Version{m.From, m.Order.To}
	}
	return []wigeonfork.Version{m.From}
}

// preferenceCompleted is Preference after the completion.
func (m *ServiceMove) preferenceCompleted() []wigeonfork.Version {
	if m.substitute == m.Order.To {
		return []wigeonfork.Version{m.Order.To}
	}
	return []wigeonfork.Version{m.Order.To, m.substitute}
}

// mayTry reports whether this entry may send the new version one more request.
func (m *ServiceMove) mayTry(now time.Time) bool {
	if !m.confirmed || m.known == 0 {
		return false
	}
	return float64(m.own.NewSent)+1 <= (m.usableFraction(now)-m.spent)*m.allowance(now)+m.offset
}

// usableFraction returns the fraction of its allowance that an entry may have used by a time.
func (m *ServiceMove) usableFraction(now time.Time) float64 {
	passed := min(1, m.elapsed(now).Seconds()/m.Order.Duration.Seconds())
	return initialFraction + (1-initialFraction)*passed*passed
}

// allowance returns the number of requests that this entry may send the new version before the
// completion, from the rate of its requests so far. It leaves room for all requests from then until
// the deadline.
func (m *ServiceMove) allowance(now time.Time) float64 {
	observed := m.elapsed(now)
	if !m.hasHistory {
		observed = max(now.Sub(m.createdAt), time.Second)
	}
	rate := float64(m.own.Sent) / observed.Seconds()
	exposed := exposureFraction * (m.limits.Share*rate*m.Order.Duration.Seconds() + m.limits.Slack/float64(m.known))
	return exposed - rate*m.finishMargin().Seconds()
}

// elapsed returns the time since the order, which is at least a second so that rates are bounded.
func (m *ServiceMove) elapsed(now time.Time) time.Duration {
	return max(now.Sub(m.began), time.Second)
}

// finishMargin returns the time before the deadline at which the move is completed.
func (m *ServiceMove) finishMargin() time.Duration {
	return min(maxFinishMargin, time.Duration(finishFraction*float64(m.Order.Duration)))
}

// Allows reports whether a request may go to a server of a version because it holds a backup there.
func (m *ServiceMove) Allows(now time.Time, version wigeonfork.Version) bool {
	return slices.Contains(m.Preference(now), version)
}

// Trusts reports whether a version is not under trial and was not stopped.
func (m *ServiceMove) Trusts(version wigeonfork.Version) bool {
	return version == m.From || m.stage == StageCompleted
}

// BackupVersion returns the version at which backups of runs at the old version are kept. Once the
// new version has shown itself good, they are kept there, since the old servers end with the move.
func (m *ServiceMove) BackupVersion() wigeonfork.Version {
	if m.stage == StageCompleted || m.stage == StageTrial && m.triedEnough() {
		return m.Order.To
	}
	return m.From
}

// Sent counts a request that is sent to a version.
func (m *ServiceMove) Sent(version wigeonfork.Version) {
	m.own.Sent++
	if version == m.Order.To {
		m.own.NewSent++
	}
}

// Answered counts an answer of a version: whether it is a failure.
func (m *ServiceMove) Answered(version wigeonfork.Version, route Route, failed bool) {
	m.addResult(route, RouteResults{Failures: m.single(version, failed)})
}

// Timed counts whether a request to a version was slow. It must be called for each request when it
// is as old as one that is found to be slow, so that the two versions are compared alike.
func (m *ServiceMove) Timed(version wigeonfork.Version, route Route, slow bool) {
	m.addResult(route, RouteResults{Slowness: m.single(version, slow)})
}

func (m *ServiceMove) addResult(route Route, r RouteResults) {
	if _, known := m.own.Results[route]; !known && len(m.own.Results) >= maxMoveRoutes {
		route = otherRoutes
	}
	sum := m.own.Results[route]
	sum.add(r)
	m.own.Results[route] = sum
}

// single returns the totals of one request.
func (m *ServiceMove) single(version wigeonfork.Version, bad bool) Totals {
	n := uint32(0)
	if bad {
		n = 1
	}
	switch version {
	case m.Order.To:
		return Totals{NewTotal: 1, NewBad: n}
	case m.From:
		return Totals{OldTotal: 1, OldBad: n}
	}
	return Totals{}
}

// StepResult is what a step changed.
type StepResult struct {
	// Rose is set if the stage rose, and HandedOver if the handover began or left nothing at the old version. The
	// peers are to be told of either at once.
	Rose, HandedOver bool
}

// Step judges the version and takes the steps that are due.
func (m *ServiceMove) Step(now time.Time, view FleetView) StepResult {
	before := m.stage
	m.enoughServers = float64(view.NewUsable) >= minCapacity*float64(view.OldUsable)
	if m.stage == StageTrial {
		m.judge(now)
	}
	handedOver := m.recordHandover(now, view.Left)
	if m.stage == StageTrial && m.confirmed && IsLeader(view.Rank) && m.timeIsUp(now, view.Rank) {
		m.decide(now, view)
	}
	return StepResult{Rose: m.stage > before, HandedOver: handedOver}
}

// decide decides when the time is up: a version that is unfit is stopped, and another one is completed
// after the handover, once nothing is left at the old version that would be cut.
func (m *ServiceMove) decide(now time.Time, view FleetView) {
	if reason := m.unfit(); reason != "" {
		m.stage = StageStopped
		m.reason = fmt.Sprintf("%s at the deadline; it has %d servers, the old version %d", reason, view.NewUsable, view.OldUsable)
		return
	}
	handedOver := m.timeIsUp(now.Add(-m.atMostStep(maxHandover)), view.Rank)
	m.finishing = m.finishing || handedOver && !m.isHeldUp(now)
}

// unfit returns why the version may not be completed, or an empty text if it may be.
func (m *ServiceMove) unfit() string {
	switch {
	case m.suspicion >= maxEndSuspicion:
		return "suspect"
	case !m.triedWell():
		return "not shown to be good"
	case !m.enoughServers:
		return "too few servers"
	case m.failsUnmatched():
		return "fails without results of the old version to compare with"
	case m.slowUnmatched():
		return "slow without results of the old version to compare with"
	}
	return ""
}

// failsUnmatched reports whether the new version fails often while hardly any result of the old one says whether
// that is usual.
func (m *ServiceMove) failsUnmatched() bool {
	return m.all.Failures.isBadUnmatched(maxUnmatchedFailures)
}

// slowUnmatched reports whether the new version is often slow by what was usual before the move, while hardly any result
// of the old one says whether that has changed.
func (m *ServiceMove) slowUnmatched() bool {
	return m.all.Slowness.isBadUnmatched(maxUnmatchedSlow)
}

// isBadUnmatched reports whether more than a fraction of the new results are bad while there are hardly any old ones.
func (t Totals) isBadUnmatched(fraction float64) bool {
	return t.OldTotal < minOldResults && float64(t.NewBad) > fraction*float64(t.NewTotal)
}

// Finished reports whether this entry, as a leader, must complete the move.
func (m *ServiceMove) Finished() bool { return m.finishing && m.stage == StageTrial }

// timeIsUp reports whether the move must be completed or stopped now, for a leader of the given
// rank.
func (m *ServiceMove) timeIsUp(now time.Time, rank int) bool {
	return m.deadline.Sub(now)+time.Duration(rank)*m.atMostStep(leaderDelay) <= m.finishMargin()
}

// atMostStep bounds the time of a step by the finish margin.
func (m *ServiceMove) atMostStep(d time.Duration) time.Duration {
	return min(d, time.Duration(stepFraction*float64(m.finishMargin())))
}

func (m *ServiceMove) triedEnough() bool {
	return m.all.good() >= minTrialResults && m.suspicion < holdSuspicion
}

// triedWell reports whether the version was tried enough, or at least had no bad result that an entry
// with history would know.
func (m *ServiceMove) triedWell() bool {
	return m.triedEnough() || m.historyKnown() && m.all.good() > 0 && m.all.Failures.NewBad+m.all.Slowness.NewBad == 0
}

// State describes the move for operators.
func (m *ServiceMove) State() string {
	sum := m.sum()
	f, s := m.all.Failures, m.all.Slowness
	return fmt.Sprintf("%s: %d of %d requests to %s; %d of %d failed and %d slow, with %s %d of %d and %d; suspicion %.2f", m.stage,
		sum.NewSent, sum.Sent, m.Order.To, f.NewBad, f.NewTotal, s.NewBad, m.From, f.OldBad, f.OldTotal, s.OldBad, m.suspicion)
}
