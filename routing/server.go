package routing

import (
	"math"
	"time"

	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/capacity"
)

// The priors are the speed and the slots that are assumed before there are samples.
const (
	priorGap             = 25 * time.Millisecond
	priorPrefillRate     = 4000.0 // tokens per second
	priorService         = 5 * time.Second
	priorSlots           = 16 // assumed slots of a server that reports none
	otherDomainRoundTrip = time.Millisecond
	fastLearning         = 2 * time.Second  // time constant of samples better than the mean
	slowLearning         = 10 * time.Second // time constant of longer inter-token times
	longTermLearning     = time.Minute      // time constant of long-term values and lower rates
	minSampleWeight      = 0.02
	maxSampleWeight      = 0.5
	historyLength        = 16
	historyStep          = 100 * time.Millisecond
	maxBatchSlowdown     = 1.0 // growth of the inter-token time from an empty to a full batch
	maxEntryScale        = 4.0 // largest assumed ratio of the load of all entries to that of one
	maxValidGap          = time.Minute
	reportValidity       = 10 * time.Second // age from which a load report counts half
	suspectMultiplier    = 8.0              // factor of a suspect server's score
	priorBetterWeight    = 0.2              // weight of a sample that is better than the prior
	priorWorseWeight     = 0.002            // weight of a sample that is worse than the prior
)

// decayingMean is an exponentially weighted mean. While there are no samples, the
// value that read returns decays to a prior.
type decayingMean struct {
	value     float64
	sampledAt time.Time
}

// observe adds a sample. Its weight grows with the time since the last sample,
// so that the number of streams does not change the rate of learning. minWeight
// is a lower bound of the weight.
func (m *decayingMean) observe(now time.Time, sample float64, timeConstant time.Duration, minWeight float64) {
	if m.sampledAt.IsZero() {
		m.value, m.sampledAt = sample, now
		return
	}
	passed := max(0, now.Sub(m.sampledAt))
	weight := -math.Expm1(-float64(passed) / float64(timeConstant))
	m.value += min(max(weight, minWeight), maxSampleWeight) * (sample - m.value)
	m.sampledAt = now
}

func (m *decayingMean) read(now time.Time, prior float64, halfLife time.Duration) float64 {
	if m.sampledAt.IsZero() {
		return prior
	}
	age := now.Sub(m.sampledAt)
	if age < halfLife/8 {
		return m.value
	}
	weight := math.Exp2(-float64(age) / float64(halfLife))
	return prior + weight*(m.value-prior)
}

// speedPrior is the speed of the fast servers of a model. It is used for servers
// without samples, so that they are neither avoided nor preferred.
type speedPrior struct {
	gap     float64 // seconds
	rate    float64 // tokens per second
	service float64 // seconds
	// capacity is what is known of all servers of the model.
	capacity capacity.Service
}

func newSpeedPrior() *speedPrior {
	return &speedPrior{gap: priorGap.Seconds(), rate: priorPrefillRate, service: priorService.Seconds()}
}

// moveToward moves value towards sample, faster if the sample is better. A slow
// server says little about the servers that have no samples yet.
func moveToward(value *float64, sample float64, better bool) {
	weight := priorWorseWeight
	if better {
		weight = priorBetterWeight
	}
	*value += weight * (sample - *value)
}

// maxHostSpeeds bounds the number of hosts whose speed is kept.
const maxHostSpeeds = 16384

// hostSpeed is the part of a server's measured speed that the next server on the
// same host inherits.
type hostSpeed struct {
	gap, rate, longTermGap decayingMean
}

func (s *server) inherit(p hostSpeed) { s.gap, s.rate, s.longTermGap = p.gap, p.rate, p.longTermGap }

// server is the router's record of one backend server. Own requests are those
// that this router sent.
type server struct {
	Server
	prior              *speedPrior
	state              State
	stateSince         time.Time
	probedAt           time.Time
	ownRequests        int     // outstanding own requests
	ownTokens          float64 // KV cache of own requests, tokens
	backupTokens       float64 // KV cache of backups placed by this router, tokens
	pendingPrefill     float64 // known prompt tokens not yet prefilled at prefillAt
	prefillAt          time.Time
	otherRequests      float64   // requests of other entries, from the last report without a slowdown
	reportedOthers     float64   // requests of other entries at the time of the last report
	reportMeasuredAt   time.Time // MeasuredAt of the newest load report
	peerRequests       float64   // requests of peers as of peerRequestsAt; a report with a slowdown may set it
	peerRequestsAt     time.Time
	gap                decayingMean          // inter-token time in an empty batch, seconds
	rate               decayingMean          // prefill tokens per second
	service            decayingMean          // duration of a request, seconds
	ownHistory         [historyLength]uint16 // ownRequests at each historyStep
	newestStep         int64                 // step of the newest count in ownHistory
	historyEpoch       time.Time             // time from which the steps are numbered
	incarnation        string
	suspectedLocally   bool         // suspect because of MarkUnhealthy
	longTermGap        decayingMean // gap with a longer time constant
	probeStreaming     bool         // a stream sent after the suspicion got its first token
	lastFirstTokenAt   time.Time
	occupancy          occupancy
	fullHold           time.Duration // how long the last refusal made the server count as full
	fullUntil          time.Time     // until then the server counts as full, since it has refused a request
	sampled            bool          // in Router.sample
	gapBeforeSuspicion float64       // longTermGap at the time of the suspicion, seconds
	capacity           capacity.Server
}

// hasSpeedSample reports whether there is a speed sample, from this entry or a
// peer, of the server or of its predecessor on the same host.
func (s *server) hasSpeedSample() bool {
	return !s.gap.sampledAt.IsZero() || !s.rate.sampledAt.IsZero()
}

func (s *server) slots() float64 {
	if s.Slots > 0 {
		return float64(s.Slots)
	}
	return priorSlots
}

// outstanding estimates the requests at the server, from this entry and others.
// A load report older than reportValidity counts half.
func (s *server) outstanding(now time.Time, disabled Term) float64 {
	n := float64(s.ownRequests)
	if disabled&TermReports != 0 {
		return n
	}
	if s.isPlain() {
		return s.outstandingPlain(now)
	}
	n += s.runningPeerRequests(now, s.service.read(now, s.prior.service, DefaultSpeedHalfLife))
	if s.reportMeasuredAt.IsZero() {
		return n
	}
	if now.Sub(s.reportMeasuredAt) > reportValidity {
		return n + s.otherRequests/2
	}
	return n + s.otherRequests
}

// runningPeerRequests estimates how many of the requests that peers reported
// still run, with service as the mean duration in seconds.
func (s *server) runningPeerRequests(now time.Time, service float64) float64 {
	if s.peerRequests == 0 {
		return 0
	}
	return s.peerRequests * math.Exp(-now.Sub(s.peerRequestsAt).Seconds()/service)
}

// prefillBacklog estimates the prompt tokens that are prefilled before a new
// prompt, at rate tokens per second. If peers do not report their requests, the
// own backlog is scaled by the ratio of outstanding to own requests.
func (s *server) prefillBacklog(now time.Time, rate, outstanding float64, peerReports bool) float64 {
	left := s.pendingPrefill - rate*now.Sub(s.prefillAt).Seconds()
	if left <= 0 {
		return 0
	}
	if peerReports {
		return left
	}
	return left * min(maxEntryScale, outstanding/float64(max(1, s.ownRequests)))
}

func (s *server) addPrefill(now time.Time, rate, tokens float64) {
	s.pendingPrefill = max(0, s.pendingPrefill-rate*now.Sub(s.prefillAt).Seconds()) + tokens
	s.prefillAt = now
}

// learnRate adds a sample of the prefill rate in tokens per second. A prompt may
// have waited behind others, so a higher rate is learned fast and a lower one
// slowly.
func (s *server) learnRate(now time.Time, rate float64) {
	moveToward(&s.prior.rate, rate, rate > s.prior.rate)
	if rate > s.rate.value {
		s.rate.observe(now, rate, fastLearning, maxSampleWeight)
		return
	}
	s.rate.observe(now, rate, longTermLearning, 0)
}

// learnGap adds a sample of the inter-token time in seconds. Concurrent prefills
// increase it, so a shorter time is learned fast and a longer one slowly.
func (s *server) learnGap(now time.Time, gap float64) {
	if s.gap.sampledAt.IsZero() || gap < s.gap.value {
		s.gap.observe(now, gap, fastLearning, maxSampleWeight)
		return
	}
	s.gap.observe(now, gap, slowLearning, 0)
}

// stepAt returns the number of the history's step at a time. The steps are numbered from a time of this
// process, so that they follow its monotonic clock when the time of day is set.
func (s *server) stepAt(t time.Time) int64 {
	if s.historyEpoch.IsZero() {
		s.historyEpoch = t.Add(-historyLength * historyStep)
	}
	return int64(t.Sub(s.historyEpoch) / historyStep)
}

// advanceHistory extends ownHistory up to now. The history is needed since a
// delayed load report is compared with the count at the time of its measurement.
func (s *server) advanceHistory(now time.Time) {
	step := s.stepAt(now)
	if step-s.newestStep > historyLength {
		s.newestStep = step - historyLength
	}
	last := s.ownHistory[((s.newestStep%historyLength)+historyLength)%historyLength]
	for s.newestStep < step {
		s.newestStep++
		s.ownHistory[s.newestStep%historyLength] = last
	}
}

func (s *server) addOwnRequests(now time.Time, delta int) {
	s.advanceHistory(now)
	s.ownRequests = max(0, s.ownRequests+delta)
	s.ownHistory[((s.newestStep%historyLength)+historyLength)%historyLength] = uint16(min(s.ownRequests, math.MaxUint16))
}

// release removes a request and its KV cache from the server's load.
func (s *server) release(now time.Time, work Work) {
	s.addOwnRequests(now, -1)
	s.ownTokens = math.Max(0, s.ownTokens-work.tokens())
}

// ownRequestsAt returns the count of own requests at then, limited to the time that the
// history covers.
func (s *server) ownRequestsAt(now, then time.Time) int {
	s.advanceHistory(now)
	step := s.stepAt(then)
	step = min(max(step, s.newestStep-historyLength+1), s.newestStep)
	return int(s.ownHistory[((step%historyLength)+historyLength)%historyLength])
}

// isOutdated reports whether a newer load report than load has been applied.
func (s *server) isOutdated(load backend.LoadReport) bool {
	return load.MeasuredAt.Before(s.reportMeasuredAt)
}

// report applies a load report that is not outdated. peerReports is set if peers report the requests that they send.
func (s *server) report(now time.Time, load backend.LoadReport, peerReports bool) {
	if load.Slots > 0 {
		s.Slots = load.Slots
	}
	if load.Incarnation != s.incarnation {
		s.incarnation = load.Incarnation
	}
	s.reportMeasuredAt = load.MeasuredAt
	others := math.Max(0, float64(load.Running+load.Waiting-s.ownRequestsAt(now, load.MeasuredAt)))
	s.reportedOthers = others
	if load.Slowdown == 0 {
		s.otherRequests, s.peerRequests = others, 0
		return
	}
	s.capacity.ReadSlowdown(load.MeasuredAt, &s.prior.capacity, load.Slowdown)
	if peerReports && !s.isPlain() {
		// An engine's counts are older than the sends that peers report.
		s.otherRequests = 0
		return
	}
	// The estimate of the requests of others decreases with time, like that of those that peers report.
	s.otherRequests, s.peerRequests, s.peerRequestsAt = 0, others, now
}

// slowdown returns the factor by which a batch of n requests increases the
// inter-token time.
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
