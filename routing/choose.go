package routing

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/problem"
)

const (
	boundedLoadFactor      = 1.25 // load limit relative to the mean load of the sample
	adapterLoadTime        = 0.5  // seconds
	defaultMaxTokens       = 512  // assumed bound of an answer without MaxTokens
	firstTokenWeight       = 2.0  // added score per second before the first token
	resumeFirstTokenWeight = 20.0 // the same for a resume
	queueWeight            = 10   // added score per second in the engine's queue
	interferenceFraction   = 0.8  // fraction of the prefill time that delays each running request
	otherLoadMargin        = 0.2  // assumed growth of the other load since the report, a fraction
	reservedSlots          = 2.0  // per server, left to resumes while other servers have free slots
	avoidDomainPenalty     = 10.0 // seconds added for a server in Request.AvoidDomain
	unmeasuredWeight       = 0.5  // added fraction of the time at busy servers without samples
	sampleAttempts         = 3    // random draws per wanted candidate before the group is scanned
)

// candidate is a server under consideration with its predicted times.
type candidate struct {
	server       int32   // index in Router.servers
	outstanding  float64 // requests at the server
	cached       uint32  // tokens of the prompt that are probably cached
	cachedCredit float64 // cached tokens, discounted by the age of the information
	queue        float64 // seconds in the engine's queue
	wait         float64 // seconds to the first token
	total        float64 // seconds to the last token
	delays       float64 // total delay of the running requests, seconds
	avoided      bool    // listed in Request.Avoid
	probe        bool    // suspect, and a probe is due
}

var (
	errUnknownVersion = problem.New(problem.CodeUnknownModel, problem.RunNot, problem.StepRoute, "no backend server holds the wanted version")
	errNoServer       = problem.New(problem.CodeNoBackend, problem.RunNot, problem.StepRoute, "no backend server is ready for the request")
)

// Choose returns the server with the lowest score, which is based on the
// predicted time to the complete answer. The error is a *problem.Error that
// says the request was not run. It is shared and must not be modified.
func (r *Router) Choose(now time.Time, req Request) (Decision, error) {
	group := r.groups[Deployment{Model: req.Model, Version: req.Version}]
	if len(group) == 0 {
		return Decision{}, errUnknownVersion
	}
	r.beginSample()
	r.sampleGroup(now, &req, group)
	r.addHolders(now, &req)
	if len(r.sample) == 0 {
		r.considerAll(now, &req, group)
	}
	if len(r.sample) == 0 {
		return Decision{}, errNoServer
	}
	if r.rooms[req.Model] == nil {
		return r.decide(now, &req, r.bestCandidate(now, &req, anyCandidate)), nil
	}
	return r.chooseWithRoom(now, &req, group), nil
}

// beginSample empties the sample and clears the servers' sampled marks.
func (r *Router) beginSample() {
	for k := range r.sample {
		r.servers[r.sample[k].server].sampled = false
	}
	r.sample = r.sample[:0]
}

// sampleGroup considers a random sample of the group without replacement, or
// the complete group if it is small.
func (r *Router) sampleGroup(now time.Time, req *Request, group []int32) {
	if len(group) <= r.options.Choices {
		r.considerAll(now, req, group)
		return
	}
	for range r.options.Choices * sampleAttempts {
		if len(r.sample) >= r.options.Choices {
			return
		}
		r.consider(now, req, group[r.random.IntN(len(group))])
	}
}

func (r *Router) considerAll(now time.Time, req *Request, group []int32) {
	for _, i := range group {
		r.consider(now, req, i)
	}
}

// addHolders considers the servers that hold the longest known prefix of the
// prompt in their cache.
func (r *Router) addHolders(now time.Time, req *Request) {
	if r.options.DisabledTerms&TermPrefix != 0 {
		return
	}
	for k := len(req.Prefixes) - 1; k >= 0; k-- {
		entry := r.prefix.find(req.Prefixes[k].Hash)
		if entry == nil || entry.count == 0 {
			continue
		}
		entry.referenced = true
		for _, h := range entry.holders[:entry.count] {
			if r.servesVersion(h.server, req) {
				r.consider(now, req, h.server)
			}
		}
		return
	}
}

func (r *Router) servesVersion(i int32, req *Request) bool {
	for _, d := range r.servers[i].Versions {
		if d.Model == req.Model && d.Version == req.Version {
			return true
		}
	}
	return false
}

// consider adds a server to the sample if it is eligible for the request and
// not yet in the sample.
func (r *Router) consider(now time.Time, req *Request, i int32) {
	s := &r.servers[i]
	if s.state >= StateLeaving || !roleMatches(s, req) {
		return
	}
	if s.sampled {
		return
	}
	if slices.Contains(req.Exclude, s.ID) {
		return
	}
	c := candidate{server: i, avoided: slices.Contains(req.Avoid, s.ID)}
	if s.state == StateSuspect && r.options.DisabledTerms&TermSuspect == 0 {
		c.probe = now.Sub(s.probedAt) >= r.options.ProbeInterval
	}
	c.outstanding = s.outstanding(now, r.options.DisabledTerms)
	if r.options.DisabledTerms&TermPrefix == 0 {
		c.cached, c.cachedCredit = r.prefix.cached(now, req.Prefixes, i, r.options.CacheHalfLife)
	}
	s.sampled = true
	r.sample = append(r.sample, c)
}

func roleMatches(s *server, req *Request) bool {
	return s.Role == "" || req.Role == "" || s.Role == req.Role
}

// anyCandidate accepts every candidate.
func anyCandidate(*candidate) bool { return true }

// bestCandidate predicts the times of the accepted candidates and returns the one with
// the lowest score, or nil if there is none.
func (r *Router) bestCandidate(now time.Time, req *Request, accepts func(*candidate) bool) *candidate {
	limit := r.loadLimit()
	answer := r.expectedTokens(now, req)
	var best *candidate
	bestScore := math.Inf(1)
	for k := range r.sample {
		c := &r.sample[k]
		if !accepts(c) {
			continue
		}
		s := &r.servers[c.server]
		if c.outstanding/s.slots() > limit {
			c.cachedCredit = 0
		}
		r.predict(now, req, c, answer)
		score := r.score(req, s, c)
		if best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// loadLimit returns the load per slot above which a cached prefix attracts no
// more requests to a server, as in consistent hashing with bounded loads.
func (r *Router) loadLimit() float64 {
	if r.options.DisabledTerms&TermBound != 0 {
		return math.Inf(1)
	}
	var outstanding, slots float64
	for k := range r.sample {
		outstanding += r.sample[k].outstanding
		slots += r.servers[r.sample[k].server].slots()
	}
	return boundedLoadFactor*(outstanding+1)/slots + 1/slots
}

func (r *Router) expectedTokens(now time.Time, req *Request) float64 {
	limit := float64(req.MaxTokens)
	if limit == 0 {
		limit = defaultMaxTokens
	}
	fraction := &r.answerFraction[req.Class%wigeonfork.NumClasses]
	return limit * fraction.read(now, defaultAnswerFraction, r.options.SpeedHalfLife)
}

// predict fills in the predicted times of the request on candidate c.
func (r *Router) predict(now time.Time, req *Request, c *candidate, answer float64) {
	s := &r.servers[c.server]
	if req.PromptTokens == 0 && s.isPlain() && r.options.DisabledTerms&(TermWait|TermSpeed) == 0 {
		r.predictPlain(now, s, c)
		return
	}
	gap, rate, service := r.speed(now, s)
	slots := s.slots()
	c.queue = 0
	backlog := 0.0
	if r.options.DisabledTerms&TermWait == 0 {
		others := c.outstanding - float64(s.ownRequests)
		expected := c.outstanding + 1 + otherLoadMargin*math.Max(0, others)
		free := slots
		if !req.Resume {
			free -= reservedSlots
		}
		c.queue = math.Max(0, expected-free) / slots * service
		backlog = s.prefillBacklog(now, rate, c.outstanding, r.peerReports)
	}
	uncached := math.Max(0, float64(req.PromptTokens)-c.cachedCredit)
	memoryDelay := r.memoryDelay(now, s, float64(req.PromptTokens)+float64(req.MaxTokens))
	c.wait = s.networkDelay(&r.options) + c.queue + memoryDelay + (backlog+uncached)/rate + adapterTime(s, req)
	load := c.outstanding + 1
	if r.options.DisabledTerms&TermWait != 0 {
		load = 0
	}
	c.total = c.wait + answer*gap*s.slowdown(load)
	c.delays = 0
	if r.options.DisabledTerms&TermInterference == 0 {
		c.delays = interferenceFraction * c.outstanding * uncached / rate
	}
}

func adapterTime(s *server, req *Request) float64 {
	if req.Adapter == "" || slices.Contains(s.Adapters, req.Adapter) {
		return 0
	}
	return adapterLoadTime
}

// speed returns the estimated inter-token time in seconds, the prefill rate in
// tokens per second and the service time in seconds. A reported slowdown
// is valid for about a second, so it changes the prefill rate only.
func (r *Router) speed(now time.Time, s *server) (gap, rate, service float64) {
	if r.options.DisabledTerms&TermSpeed != 0 {
		return priorGap.Seconds(), priorPrefillRate, priorService.Seconds()
	}
	gap, rate, service = s.prior.gap, s.prior.rate, s.prior.service
	halfLife := r.options.SpeedHalfLife
	gap = s.gap.read(now, gap, halfLife)
	rate = s.rate.read(now, rate, halfLife)
	service = s.service.read(now, service, halfLife)
	rate /= s.capacity.Slowdown(now)
	return gap, rate, service
}

// score returns the predicted total time in seconds plus weighted penalties; the
// lowest score wins. A server without a speed sample may be many times slower than
// usual, so it is penalised while it works on its first requests. Avoided and
// suspect servers come after all others, except that a suspect server whose
// probe is due comes first.
func (r *Router) score(req *Request, s *server, c *candidate) float64 {
	first := firstTokenWeight
	if req.Resume {
		first = resumeFirstTokenWeight
	}
	score := c.total + c.delays + queueWeight*c.queue + first*c.wait
	if req.PromptTokens > 0 && !s.hasSpeedSample() && r.options.DisabledTerms&TermSpeed == 0 {
		score += unmeasuredWeight * math.Min(1, c.outstanding) * (c.total - c.queue)
	}
	if req.AvoidDomain != "" && s.Domain == req.AvoidDomain {
		score += avoidDomainPenalty
	}
	if c.avoided {
		score += time.Hour.Seconds()
	}
	if s.state != StateSuspect || r.options.DisabledTerms&TermSuspect != 0 {
		return score
	}
	if c.probe && !c.avoided {
		return 0
	}
	return score*suspectMultiplier + time.Minute.Seconds()
}

func (r *Router) decide(now time.Time, req *Request, c *candidate) Decision {
	s := &r.servers[c.server]
	if c.probe {
		s.probedAt = now
	}
	total := seconds(c.total)
	return Decision{
		ID:             s.ID,
		Host:           s.Host,
		Domain:         s.Domain,
		ExpectedWait:   seconds(c.wait),
		ExpectedTotal:  total,
		CachedTokens:   c.cached,
		Probe:          c.probe,
		Avoided:        c.avoided,
		MissesDeadline: !req.Deadline.IsZero() && now.Add(total).After(req.Deadline),
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
