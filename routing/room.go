package routing

import (
	"fmt"
	"math"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// newRequestReserve is the fraction of an engine's KV cache that new requests leave free. Resumes and runs from a
	// copy may use it.
	newRequestReserve = 0.05
	// rankReserve is the fraction that a request leaves free for each more urgent rank that has looked for room within
	// rankDemandPeriod, up to maxRankReserve.
	rankReserve      = 0.15
	maxRankReserve   = 0.4
	rankDemandPeriod = 10 * time.Second
	// newCopyReserve is the fraction of an engine's KV cache that a new copy leaves free. A request that is evicted for a
	// copy must be prefilled again, which costs more than the copy saves.
	newCopyReserve = 0.25
	// replacementCopyReserve is the fraction that a copy which replaces a lost one leaves free. An engine makes such a
	// copy at once in full, and does not evict it for requests.
	replacementCopyReserve = 0.5
	// overdueFactor is the multiple of its predicted duration after which a peer's request is taken to have ended though
	// that was not announced.
	overdueFactor = 3
	// fullHold is the time for which a server that has refused a request counts as full. It doubles with each further
	// refusal, up to maxFullHold, until the server begins or ends a request.
	fullHold    = 200 * time.Millisecond
	maxFullHold = 1600 * time.Millisecond
	// maxOccupants bounds each list of one server: own requests, requests of peers, copies of peers.
	maxOccupants = 1024
	// minRoomIn is the least predicted time until a server has room.
	minRoomIn = 10 * time.Millisecond
	// overdueRemainder is the fraction of the time that a request has run beyond its predicted end for which it is
	// expected to run on.
	overdueRemainder = 0.25
	// maxWidened bounds the servers that are considered when no server of the sample has room. If one server in a hundred,
	// at random, has room, the probability that none of these has is below 1e-4.
	maxWidened = 1024
	// roomInChoices bounds the servers for which the time until they have room is predicted when none has room.
	roomInChoices = 32
)

// NoRoomError is the error of a request for which no server has room. The request was not sent.
type NoRoomError struct {
	// RoomIn is the predicted time until a server has room.
	RoomIn time.Duration
}

// Error implements error.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("no backend server has room for the request; one is expected to in %v", e.RoomIn.Round(time.Millisecond))
}

// size is the mean size of the requests for a model that this router has seen.
type size struct {
	prompt, answer decayingMean // tokens
}

// roomPolicy is what is known of the memory that a model's requests need.
type roomPolicy struct {
	size size
	// stretch is the duration of runs relative to that predicted by the server's speed alone.
	stretch decayingMean
	// askedAt is when a request of each rank last looked for room.
	askedAt map[wigeonfork.Rank]time.Time
}

// newOccupant returns an occupant without tokens that was sent now. predicted is its duration by the server's speed alone.
func (p *roomPolicy) newOccupant(now time.Time, predicted time.Duration) occupant {
	stretched := time.Duration(p.stretch.read(now, 1, DefaultSpeedHalfLife) * float64(predicted))
	return occupant{sentAt: now, predicted: predicted, endsAt: now.Add(stretched), forgetAt: now.Add(overdueFactor * stretched)}
}

// SetRoom sets whether requests for a model go only where the engine has memory for them, as far as there is such a
// server. Without it a lack of memory only adds to a server's score.
func (r *Router) SetRoom(model wigeonfork.Model, enabled bool) {
	if !enabled {
		delete(r.rooms, model)
		return
	}
	if r.rooms[model] == nil {
		r.rooms[model] = &roomPolicy{}
	}
}

// roomOf returns the policy for the requests to a server, or nil if room is not counted there.
func (r *Router) roomOf(s *server) *roomPolicy {
	if len(s.Versions) == 0 || r.memoryLimit[s.Versions[0].Model] <= 0 {
		return nil
	}
	return r.rooms[s.Versions[0].Model]
}

// occupyOwn records the memory of a request that this router sends to a server.
func (r *Router) occupyOwn(now time.Time, i int32, work *Work) {
	s := &r.servers[i]
	policy := r.roomOf(s)
	if policy == nil {
		return
	}
	policy.size.prompt.observe(now, float64(work.PromptTokens), longTermLearning, minSampleWeight)
	policy.size.answer.observe(now, float64(work.MaxTokens), longTermLearning, minSampleWeight)
	read := work.PromptTokens
	if work.HasBackup {
		read = 0
	}
	added := policy.newOccupant(now, r.predictRun(now, s, float64(read), float64(work.MaxTokens)))
	added.prefix, added.tokens, added.work = wholePrefix(work), r.unshared(now, i, work), work.tokens()
	s.occupancy.addOwn(added)
}

// vacateOwn frees the memory of a request of this router. complete is set if it was answered, so that its duration
// is known.
func (r *Router) vacateOwn(now time.Time, s *server, work *Work, complete bool) {
	rest, removed, ok := s.occupancy.removeOne(s.occupancy.own, func(o *occupant) bool {
		return o.prefix == wholePrefix(work) && o.work == work.tokens()
	})
	s.occupancy.own = rest
	policy := r.roomOf(s)
	if ok && complete && policy != nil && removed.predicted > 0 {
		policy.stretch.observe(now, float64(now.Sub(removed.sentAt))/float64(removed.predicted), longTermLearning, minSampleWeight)
	}
}

// unshared returns the tokens that a request occupies beyond those that other requests share with it at a server. The
// last part of a prompt belongs to the request itself.
func (r *Router) unshared(now time.Time, i int32, work *Work) float64 {
	n := len(work.Prefixes)
	if n < 2 {
		return work.tokens()
	}
	_, shared := r.prefix.cached(now, work.Prefixes[:n-1], i, r.options.CacheHalfLife)
	return max(0, work.tokens()-shared)
}

// occupyPeer records the memory of a request that a peer sent to a server. A peer does not tell the bound of the
// answer, and for a run from a copy no prompt. Both are assumed as usual.
func (r *Router) occupyPeer(now time.Time, i int32, work *Work) {
	s := &r.servers[i]
	policy := r.roomOf(s)
	if policy == nil {
		return
	}
	answer := policy.size.answer.read(now, defaultMaxTokens, DefaultSpeedHalfLife)
	prompt := float64(work.PromptTokens)
	run := r.predictRun(now, s, prompt, answer)
	if prompt == 0 {
		prompt = policy.size.prompt.read(now, 0, DefaultSpeedHalfLife)
	} else if work.MaxTokens == 0 {
		policy.size.prompt.observe(now, prompt, longTermLearning, minSampleWeight)
	}
	added := policy.newOccupant(now, run)
	added.prefix, added.tokens = wholePrefix(work), prompt+answer
	s.occupancy.addPeer(now, added)
}

// PeerEnded records that a request of a peer with the given prompt has ended.
func (r *Router) PeerEnded(now time.Time, id ID, prefix uint64) {
	if s := r.find(id); s != nil && r.roomOf(s) != nil {
		s.occupancy.expire(now)
		s.occupancy.peers, _, _ = s.occupancy.removeOne(s.occupancy.peers, hasPrefix(prefix))
	}
}

// PeerCopyKept records that a server keeps a copy, of at most the given tokens, of a peer's request.
func (r *Router) PeerCopyKept(now time.Time, id ID, prefix uint64, tokens uint32) {
	s := r.find(id)
	if s == nil || r.roomOf(s) == nil {
		return
	}
	policy := r.roomOf(s)
	made := policy.size.answer.read(now, defaultMaxTokens, DefaultSpeedHalfLife)
	added := policy.newOccupant(now, r.predictRun(now, s, float64(tokens), made))
	added.prefix, added.tokens = prefix, float64(tokens)
	s.occupancy.addCopy(now, added)
}

// PeerCopyDropped records that a server no longer keeps a copy of a peer's request.
func (r *Router) PeerCopyDropped(id ID, prefix uint64) {
	if s := r.find(id); s != nil {
		s.occupancy.copies, _, _ = s.occupancy.removeOne(s.occupancy.copies, hasPrefix(prefix))
	}
}

// CountsRoom reports whether the memory of a server is counted.
func (r *Router) CountsRoom(id ID) bool {
	s := r.find(id)
	return s != nil && r.roomOf(s) != nil
}

// hasRoomForCopy reports whether a server has memory for a copy. It has if room is not counted there.
func (r *Router) hasRoomForCopy(now time.Time, s *server, b *BackupRequest) bool {
	if r.roomOf(s) == nil {
		return true
	}
	reserve := newCopyReserve
	if b.Replaces {
		reserve = replacementCopyReserve
	}
	limit := r.memoryLimit[s.Versions[0].Model] * (1 - reserve)
	return s.occupancy.used(now)+s.backupTokens+float64(b.Tokens) <= limit
}

// correctRoom applies the requests of others that a load report of a server counts.
func (r *Router) correctRoom(now, measuredAt time.Time, s *server) {
	policy := r.roomOf(s)
	if policy == nil {
		return
	}
	tokens := policy.size.prompt.read(now, 0, DefaultSpeedHalfLife) + policy.size.answer.read(now, defaultMaxTokens, DefaultSpeedHalfLife)
	_, _, service := r.speed(now, s)
	missing := policy.newOccupant(measuredAt, seconds(service))
	missing.tokens, missing.forgetAt = tokens, missing.endsAt
	s.occupancy.correct(now, measuredAt, int(s.reportedOthers), missing)
}

// predictRun returns the predicted duration of a run at a server that reads and makes the given tokens.
func (r *Router) predictRun(now time.Time, s *server, read, made float64) time.Duration {
	gap, rate, _ := r.speed(now, s)
	backlog := max(0, s.pendingPrefill-rate*now.Sub(s.prefillAt).Seconds())
	return seconds((backlog+read)/rate + made*gap*s.slowdown(s.outstanding(now, r.options.DisabledTerms)))
}

// hasRoom reports whether a candidate has memory and a slot for a request. A request that no memory holds is not made to
// wait: the engine says so.
func (r *Router) hasRoom(now time.Time, c *candidate, req *Request) bool {
	s := &r.servers[c.server]
	if r.roomOf(s) == nil {
		return true
	}
	if float64(req.PromptTokens)+float64(req.MaxTokens) > r.memoryLimit[req.Model] {
		return true
	}
	if now.Before(s.fullUntil) {
		return false
	}
	return r.missingMemory(now, c.server, req) <= 0 && (s.Slots == 0 || c.outstanding+1 <= s.slots())
}

// missingMemory returns the tokens that must become free at a server before a request has room; below 0 are free.
func (r *Router) missingMemory(now time.Time, i int32, req *Request) float64 {
	s := &r.servers[i]
	limit := r.memoryLimit[s.Versions[0].Model]
	if !s.occupancy.isIdle() {
		limit *= 1 - r.rooms[s.Versions[0].Model].reserveFor(now, req)
	}
	need := r.unshared(now, i, &Work{Prefixes: req.Prefixes, PromptTokens: req.PromptTokens, MaxTokens: req.MaxTokens})
	return s.occupancy.used(now) + s.backupTokens + need - limit
}

// asked records that a request of a rank looks for room.
func (p *roomPolicy) asked(now time.Time, rank wigeonfork.Rank) {
	if p.askedAt == nil {
		p.askedAt = make(map[wigeonfork.Rank]time.Time)
	}
	p.askedAt[rank] = now
}

// reserveFor returns the fraction of an engine's KV cache that a request leaves free.
func (p *roomPolicy) reserveFor(now time.Time, req *Request) float64 {
	reserve := 0.0
	for rank, at := range p.askedAt {
		if rank < req.Rank && now.Sub(at) < rankDemandPeriod {
			reserve += rankReserve
		}
	}
	reserve = min(reserve, maxRankReserve)
	if !req.Resume {
		reserve += newRequestReserve
	}
	return reserve
}

// roomIn returns the predicted time until a server has room for a request.
func (r *Router) roomIn(now time.Time, i int32, req *Request) time.Duration {
	s := &r.servers[i]
	missing := r.missingMemory(now, i, req)
	if missing <= 0 && now.Before(s.fullUntil) {
		return s.fullUntil.Sub(now)
	}
	if missing <= 0 {
		// There is memory but no free slot, so that the first request to end makes room.
		missing = 1
	}
	if in, ok := s.occupancy.freeIn(now, missing); ok {
		return in
	}
	_, _, service := r.speed(now, s)
	return seconds(service)
}

// chooseWithRoom decides like Choose for a model whose requests go where there is room: among the candidates with room
// if there is one, else among up to maxWidened servers of the group. Avoided servers come last of
// those with room. If none has room, the decision names the server with the lowest score and has NoRoom set.
func (r *Router) chooseWithRoom(now time.Time, req *Request, group []int32) Decision {
	r.rooms[req.Model].asked(now, req.Rank)
	accepts := func(c *candidate) bool { return !c.avoided && r.takesRequests(c) && r.hasRoom(now, c, req) }
	best := r.bestCandidate(now, req, accepts)
	if best == nil {
		r.widenSample(now, req, group)
		best = r.bestCandidate(now, req, accepts)
	}
	if best == nil {
		best = r.bestCandidate(now, req, func(c *candidate) bool { return r.takesRequests(c) && r.hasRoom(now, c, req) })
	}
	if best != nil {
		return r.decide(now, req, best)
	}
	best = r.bestCandidate(now, req, anyCandidate)
	noRoom := !r.hasRoom(now, best, req)
	decision := r.decide(now, req, best)
	if noRoom {
		decision.NoRoom, decision.RoomIn = true, r.leastRoomIn(now, req)
	}
	return decision
}

// takesRequests reports whether a candidate is ready or due for a probe.
func (r *Router) takesRequests(c *candidate) bool {
	return c.probe || r.servers[c.server].state == StateReady
}

// widenSample considers up to maxWidened servers of the group, from a random one on.
func (r *Router) widenSample(now time.Time, req *Request, group []int32) {
	first := r.random.IntN(len(group))
	for k := range min(len(group), maxWidened) {
		r.consider(now, req, group[(first+k)%len(group)])
	}
}

// leastRoomIn returns the predicted time until the first of the candidates of the sample that take requests has room.
func (r *Router) leastRoomIn(now time.Time, req *Request) time.Duration {
	least := time.Duration(math.MaxInt64)
	for k := range r.sample[:min(len(r.sample), roomInChoices)] {
		if r.takesRequests(&r.sample[k]) {
			least = min(least, r.roomIn(now, r.sample[k].server, req))
		}
	}
	if least == math.MaxInt64 {
		_, _, service := r.speed(now, &r.servers[r.sample[0].server])
		return seconds(service)
	}
	return least
}

// Refused records that a server has refused a request without running it. Where room is counted, the server then counts as
// full for fullHold or longer, since the known occupancy is too low and further requests would be refused too.
func (r *Router) Refused(now time.Time, id ID) {
	s := r.find(id)
	if s == nil || r.roomOf(s) == nil {
		return
	}
	if now.Before(s.fullUntil) {
		// The refused request was sent before the previous refusal was known.
		return
	}
	s.fullHold = min(maxFullHold, max(fullHold, 2*s.fullHold))
	s.fullUntil = now.Add(s.fullHold)
}

// tookRequest records that a server has begun or ended a request, so that a place there was free.
func (s *server) tookRequest() {
	s.fullHold, s.fullUntil = 0, time.Time{}
}

// ServerRoom is the estimated use of an engine's KV cache by all entries, in tokens, and the number of Requests, copies
// excluded. Used excludes Backups, the copies that this router placed. Limit is 0 if the memory is not counted.
type ServerRoom struct {
	Limit, Used, Backups int
	Requests             int
}

// Room returns the counted memory of a server.
func (r *Router) Room(now time.Time, id ID) ServerRoom {
	s := r.find(id)
	if s == nil || r.roomOf(s) == nil {
		return ServerRoom{}
	}
	used := s.occupancy.used(now)
	return ServerRoom{
		Limit: int(r.memoryLimit[s.Versions[0].Model]), Used: int(used), Backups: int(s.backupTokens),
		Requests: len(s.occupancy.own) + len(s.occupancy.peers),
	}
}
