package routing

import (
	"math"
	"time"

	"github.com/wigeonfork/wigeonfork/backend"
)

const (
	priorGap             = 25 * time.Millisecond
	priorPrefillRate     = 4000.0 // tokens per second
	priorService         = 5 * time.Second
	priorSlots           = 16
	otherDomainRoundTrip = time.Millisecond
	fastLearning         = 2 * time.Second  // time over which a changed value is learned
	slowLearning         = 10 * time.Second // time over which a worse value is learned
	longTermLearning     = time.Minute      // the same for the usual value
	minSampleWeight      = 0.02
	maxSampleWeight      = 0.5
	historyLength        = 16
	historyStep          = 100 * time.Millisecond
	maxBatchSlowdown     = 1.0 // growth of the inter-token time from an empty to a full batch
	maxEntryScale        = 4.0 // load of all entries, in loads of one
	maxValidGap          = time.Minute
	reportValidity       = 10 * time.Second
	suspectMultiplier    = 8.0
	priorBetterWeight    = 0.2   // weight of a sample that is better than the typical one
	priorWorseWeight     = 0.002 // weight of one that is worse
)

// decayingMean is an exponentially weighted mean that drifts back to a prior while
// it is not confirmed.
type decayingMean struct {
	value float64
	at    time.Time
}

// observe takes in a sample. Samples count by the time that passes between
// them, so that many streams do not speed up learning; least bounds the weight
// of one sample from below.
func (l *decayingMean) observe(now time.Time, sample float64, timeConstant time.Duration, minWeight float64) {
	if l.at.IsZero() {
		l.value, l.at = sample, now
		return
	}
	passed := max(0, now.Sub(l.at))
	weight := -math.Expm1(-float64(passed) / float64(timeConstant))
	l.value += min(max(weight, minWeight), maxSampleWeight) * (sample - l.value)
	l.at = now
}

func (l *decayingMean) read(now time.Time, prior float64, halfLife time.Duration) float64 {
	if l.at.IsZero() {
		return prior
	}
	age := now.Sub(l.at)
	if age < halfLife/8 {
		return l.value
	}
	trust := math.Exp2(-float64(age) / float64(halfLife))
	return prior + trust*(l.value-prior)
}

// speedPrior is what the good servers of a model show. It is the prior for those
// that have shown nothing yet, so that they are neither shunned nor sought.
type speedPrior struct {
	gap     float64 // seconds
	rate    float64 // tokens per second
	service float64 // seconds
}

func newSpeedPrior() *speedPrior {
	return &speedPrior{gap: priorGap.Seconds(), rate: priorPrefillRate, service: priorService.Seconds()}
}

// moveToward moves value to sample, quickly where the sample is better: a slow server
// says little of those that are not known yet.
func moveToward(value *float64, sample float64, better bool) {
	weight := priorWorseWeight
	if better {
		weight = priorBetterWeight
	}
	*value += weight * (sample - *value)
}

// maxHostSpeeds bounds the hosts whose pace is remembered.
const maxHostSpeeds = 16384

// hostSpeed is what was learned of a server that the next one on its host has too.
type hostSpeed struct {
	gap, rate, longTermGap decayingMean
}

func (s *server) inherit(p hostSpeed) { s.gap, s.rate, s.longTermGap = p.gap, p.rate, p.longTermGap }

// server is the router's record of one backend server.
type server struct {
	Server
	prior              *speedPrior
	state              State
	stateSince         time.Time
	probedAt           time.Time
	own                int
	ownTokens          float64 // memory of own requests
	copyTokens         float64 // memory of own copies of runs elsewhere
	pendingPrefill     float64 // own prompt tokens not yet prefilled at prefillAt
	prefillAt          time.Time
	otherRequests      float64 // requests of other entries, from the last report
	reportAt           time.Time
	peerRequests       float64 // requests of other entries that they told of since, at peersAsOf
	peerRequestsAt     time.Time
	gap                decayingMean // inter-token time in an empty batch, seconds
	rate               decayingMean // prefill tokens per second
	service            decayingMean // duration of a request, seconds
	history            [historyLength]uint16
	historyAt          int64 // step of the newest sample in history
	incarnation        string
	suspectedLocally   bool         // suspect by what was seen here
	longTermGap        decayingMean // gap over a longer time
	probeStreaming     bool         // a stream sent off after the doubt has begun
	lastFirstTokenAt   time.Time
	gapBeforeSuspicion float64 // usual gap before the doubt, seconds
}

// hasSpeedSample tells whether the server, or the one before it on its host, has shown
// its speed to any entry.
func (s *server) hasSpeedSample() bool { return !s.gap.at.IsZero() || !s.rate.at.IsZero() }

func (s *server) slots() float64 {
	if s.Slots > 0 {
		return float64(s.Slots)
	}
	return priorSlots
}

// outstanding estimates the requests at the server, own and foreign.
func (s *server) outstanding(now time.Time, without Term) float64 {
	n := float64(s.own)
	if without&TermReports != 0 {
		return n
	}
	n += s.runningPeerRequests(now, s.service.read(now, s.prior.service, DefaultSpeedHalfLife))
	if s.reportAt.IsZero() {
		return n
	}
	if now.Sub(s.reportAt) > reportValidity {
		return n + s.otherRequests/2
	}
	return n + s.otherRequests
}

// runningPeerRequests returns the requests that peers told of and that still run, if one
// takes service seconds.
func (s *server) runningPeerRequests(now time.Time, service float64) float64 {
	if s.peerRequests == 0 {
		return 0
	}
	return s.peerRequests * math.Exp(-now.Sub(s.peerRequestsAt).Seconds()/service)
}

// prefillBacklog estimates the prompt tokens that go before a new prompt, when the
// engine prefills rate tokens per second. Where peers do not tell of theirs,
// entries are taken to be alike.
func (s *server) prefillBacklog(now time.Time, rate, outstanding float64, peerReports bool) float64 {
	left := s.pendingPrefill - rate*now.Sub(s.prefillAt).Seconds()
	if left <= 0 {
		return 0
	}
	if peerReports {
		return left
	}
	return left * min(maxEntryScale, outstanding/float64(max(1, s.own)))
}

func (s *server) addPrefill(now time.Time, rate, tokens float64) {
	s.pendingPrefill = max(0, s.pendingPrefill-rate*now.Sub(s.prefillAt).Seconds()) + tokens
	s.prefillAt = now
}

// learnRate takes in a prefill rate. A prompt may have waited behind others, so
// a higher rate than the one known counts at once and a lower one slowly.
func (s *server) learnRate(now time.Time, rate float64) {
	moveToward(&s.prior.rate, rate, rate > s.prior.rate)
	if rate > s.rate.value {
		s.rate.observe(now, rate, fastLearning, maxSampleWeight)
		return
	}
	s.rate.observe(now, rate, longTermLearning, 0)
}

// learnGap takes in an inter-token time. Prompts that are read meanwhile stretch
// it, so a shorter one counts at once and a longer one slowly.
func (s *server) learnGap(now time.Time, gap float64) {
	if s.gap.at.IsZero() || gap < s.gap.value {
		s.gap.observe(now, gap, fastLearning, maxSampleWeight)
		return
	}
	s.gap.observe(now, gap, slowLearning, 0)
}

// advanceHistory keeps the count of own requests over time, so that a lagging report
// can be compared with the count at the time of its measurement.
func (s *server) advanceHistory(now time.Time) {
	step := now.UnixNano() / int64(historyStep)
	if step-s.historyAt > historyLength {
		s.historyAt = step - historyLength
	}
	last := s.history[((s.historyAt%historyLength)+historyLength)%historyLength]
	for s.historyAt < step {
		s.historyAt++
		s.history[s.historyAt%historyLength] = last
	}
}

func (s *server) addOwn(now time.Time, delta int) {
	s.advanceHistory(now)
	s.own = max(0, s.own+delta)
	s.history[((s.historyAt%historyLength)+historyLength)%historyLength] = uint16(min(s.own, math.MaxUint16))
}

// release takes a request and its memory off the server.
func (s *server) release(now time.Time, work Work) {
	s.addOwn(now, -1)
	s.ownTokens = math.Max(0, s.ownTokens-work.tokens())
}

// ownAt returns the count of own requests at a time in the recent past.
func (s *server) ownAt(now, then time.Time) int {
	s.advanceHistory(now)
	step := then.UnixNano() / int64(historyStep)
	step = min(max(step, s.historyAt-historyLength+1), s.historyAt)
	return int(s.history[((step%historyLength)+historyLength)%historyLength])
}

func (s *server) report(now time.Time, load backend.LoadReport) {
	if !s.reportAt.IsZero() && load.MeasuredAt.Before(s.reportAt) {
		return
	}
	if load.Slots > 0 {
		s.Slots = load.Slots
	}
	if load.Incarnation != s.incarnation {
		s.incarnation = load.Incarnation
	}
	total := load.Running + load.Waiting
	s.otherRequests = math.Max(0, float64(total-s.ownAt(now, load.MeasuredAt)))
	s.reportAt = load.MeasuredAt
	s.peerRequests = 0
}

// slowdown is the growth of the inter-token time in a batch of n requests.
func (s *server) slowdown(n float64) float64 {
	return 1 + maxBatchSlowdown*math.Min(1, n/s.slots())
}

func (s *server) networkDelay(o *Options) float64 {
	if o.DisabledTerms&TermDomain != 0 {
		return 0
	}
	if s.RoundTrip > 0 {
		return s.RoundTrip.Seconds()
	}
	if s.Domain == o.Domain {
		return 0
	}
	return otherDomainRoundTrip.Seconds()
}
