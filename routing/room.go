package routing

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// newRequestReserve is the fraction of an engine's KV cache that new requests leave free. Resumes and runs from a
	// copy may use it.
	newRequestReserve = 0.05
	// longAnswerMargin is by how much longer than predicted a peer's request is assumed to run, since its end is not
	// announced.
	longAnswerMargin = 1.25
	// maxOccupants bounds the requests that are recorded of one server, own and of peers each.
	maxOccupants = 1024
	// minRoomIn is the least predicted time until a server has room.
	minRoomIn = 10 * time.Millisecond
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

// occupant is a request that occupies KV cache of a server.
type occupant struct {
	// key identifies an own request's work among those of its server.
	key    occupantKey
	tokens float64
	// sentAt is when it was sent, and endsAt its predicted end.
	sentAt, endsAt time.Time
}

// occupantKey identifies the work of a request. Equal works occupy the same, so any of them may be removed for another.
type occupantKey struct {
	prefix                  uint64
	promptTokens, maxTokens uint32
}

func keyOf(w *Work) occupantKey {
	key := occupantKey{promptTokens: w.PromptTokens, maxTokens: w.MaxTokens}
	if n := len(w.Prefixes); n > 0 {
		key.prefix = w.Prefixes[n-1].Hash
	}
	return key
}

// occupancy is the requests that occupy one server's KV cache, as far as this router knows: its own until they end, and
// those of its peers until their predicted end. A load report corrects the number of the latter.
type occupancy struct {
	own   []occupant
	peers []occupant
}

func (o *occupancy) addOwn(added occupant) {
	if len(o.own) < maxOccupants {
		o.own = append(o.own, added)
	}
}

// removeOwn removes one own request with the given work.
func (o *occupancy) removeOwn(key occupantKey) {
	for i := range o.own {
		if o.own[i].key == key {
			o.own = slices.Delete(o.own, i, i+1)
			return
		}
	}
}

func (o *occupancy) addPeer(now time.Time, added occupant) {
	o.expire(now)
	if len(o.peers) < maxOccupants {
		o.peers = append(o.peers, added)
	}
}

// expire removes the requests of peers that are predicted to have ended.
func (o *occupancy) expire(now time.Time) {
	o.peers = slices.DeleteFunc(o.peers, func(p occupant) bool { return !p.endsAt.After(now) })
}

// correct applies the number of requests of peers that a load report measured. Requests that were sent since are kept.
// Of those before, the ones that end first are removed if there are too many. If there are too few, requests of
// the given size are added, which replace lost messages.
func (o *occupancy) correct(now, measuredAt time.Time, others int, missing occupant) {
	o.expire(now)
	slices.SortFunc(o.peers, func(a, b occupant) int { return a.endsAt.Compare(b.endsAt) })
	before := 0
	for i := range o.peers {
		if !o.peers[i].sentAt.After(measuredAt) {
			before++
		}
	}
	for ; before < others && len(o.peers) < maxOccupants; before++ {
		o.peers = append(o.peers, missing)
	}
	o.peers = slices.DeleteFunc(o.peers, func(p occupant) bool {
		if before <= others || p.sentAt.After(measuredAt) {
			return false
		}
		before--
		return true
	})
}

// used returns the occupied tokens.
func (o *occupancy) used(now time.Time) float64 {
	o.expire(now)
	sum := 0.0
	for i := range o.own {
		sum += o.own[i].tokens
	}
	for i := range o.peers {
		sum += o.peers[i].tokens
	}
	return sum
}

// freeIn returns the predicted time until at least the given tokens have become free, and false if all requests
// together occupy less.
func (o *occupancy) freeIn(now time.Time, tokens float64) (time.Duration, bool) {
	all := slices.Concat(o.own, o.peers)
	slices.SortFunc(all, func(a, b occupant) int { return a.endsAt.Compare(b.endsAt) })
	for i := range all {
		if tokens -= all[i].tokens; tokens <= 0 {
			return max(minRoomIn, all[i].endsAt.Sub(now)), true
		}
	}
	return 0, false
}

// size is the mean size of the requests for a model that this router has seen.
type size struct {
	prompt, answer decayingMean // tokens
}

// roomPolicy is what a model's requests need of the engines' memory.
type roomPolicy struct {
	size size
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
	s.occupancy.addOwn(occupant{
		key: keyOf(work), tokens: r.unshared(now, i, work), sentAt: now,
		endsAt: now.Add(r.predictRun(now, s, float64(read), float64(work.MaxTokens))),
	})
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
	s.occupancy.addPeer(now, occupant{
		tokens: prompt + answer, sentAt: now, endsAt: now.Add(time.Duration(longAnswerMargin * float64(run))),
	})
}

// correctRoom applies the requests of others that a load report of a server counts.
func (r *Router) correctRoom(now, measuredAt time.Time, s *server) {
	policy := r.roomOf(s)
	if policy == nil {
		return
	}
	tokens := policy.size.prompt.read(now, 0, DefaultSpeedHalfLife) + policy.size.answer.read(now, defaultMaxTokens, DefaultSpeedHalfLife)
	_, _, service := r.speed(now, s)
	s.occupancy.correct(now, measuredAt, int(s.otherRequests), occupant{
		tokens: tokens, sentAt: measuredAt, endsAt: measuredAt.Add(seconds(service)),
	})
}

// predictRun returns the predicted duration of a run at a server that reads and makes the given tokens.
func (r *Router) predictRun(now time.Time, s *server, read, made float64) time.Duration {
	gap, rate, _ := r.speed(now, s)
	backlog := max(0, s.pendingPrefill-rate*now.Sub(s.prefillAt).Seconds())
	return seconds((backlog+read)/rate + made*gap*s.slowdown(s.outstanding(now, r.options.DisabledTerms)))
}

// hasRoom reports whether a candidate has memory and a slot for a request.
func (r *Router) hasRoom(now time.Time, c *candidate, req *Request) bool {
	s := &r.servers[c.server]
	if r.roomOf(s) == nil {
		return true
	}
	return r.missingMemory(now, c.server, req) <= 0 && (s.Slots == 0 || c.outstanding+1 <= s.slots())
}

// missingMemory returns the tokens that must become free at a server before a request has room; below 0 are free.
func (r *Router) missingMemory(now time.Time, i int32, req *Request) float64 {
	s := &r.servers[i]
	limit := r.memoryLimit[s.Versions[0].Model]
	if !req.Resume {
		limit *= 1 - newRequestReserve
	}
	need := r.unshared(now, i, &Work{Prefixes: req.Prefixes, PromptTokens: req.PromptTokens, MaxTokens: req.MaxTokens})
	return s.occupancy.used(now) + s.backupTokens + need - limit
}

// roomIn returns the predicted time until a server has room for a request.
func (r *Router) roomIn(now time.Time, i int32, req *Request) time.Duration {
	s := &r.servers[i]
	missing := r.missingMemory(now, i, req)
	if missing <= 0 {
		// Its slots are taken.
		missing = 1
	}
	if in, ok := s.occupancy.freeIn(now, missing); ok {
		return in
	}
	_, _, service := r.speed(now, s)
	return seconds(service)
}

// chooseWithRoom decides like Choose for a model whose requests go where there is room: among the candidates with room
// if there is one, else among those of the complete group, else to the least bad server.
func (r *Router) chooseWithRoom(now time.Time, req *Request, group []int32) Decision {
	accepts := func(c *candidate) bool { return r.isSound(c) && r.hasRoom(now, c, req) }
	best := r.bestCandidate(now, req, accepts)
	if best == nil {
		r.considerAll(now, req, group)
		best = r.bestCandidate(now, req, accepts)
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

// isSound reports whether a candidate is ready or due for a probe, and not to be avoided.
func (r *Router) isSound(c *candidate) bool {
	return !c.avoided && (c.probe || r.servers[c.server].state == StateReady)
}

// leastRoomIn returns the predicted time until the first of the ready candidates has room.
func (r *Router) leastRoomIn(now time.Time, req *Request) time.Duration {
	least := time.Duration(math.MaxInt64)
	for k := range r.sample {
		if r.isSound(&r.sample[k]) {
			least = min(least, r.roomIn(now, r.sample[k].server, req))
		}
	}
	if least == math.MaxInt64 {
		return minRoomIn
	}
	return least
}

// ServerRoom is the memory of an engine as all entries together use it, in tokens. Limit is 0 if it is not counted.
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
