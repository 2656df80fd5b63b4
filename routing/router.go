package routing

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
)

const defaultAnswerFraction = 0.5

// Router holds an entry's view of its backend servers.
type Router struct {
	options        Options
	random         *rand.Rand
	servers        []server
	index          map[ID]int32
	groups         map[Deployment][]int32 // indexes of the servers that hold a version
	prefix         prefixTable
	memoryLimit    map[wigeonfork.Model]float64 // KV cache size of an engine, tokens
	priors         map[wigeonfork.Model]*speedPrior
	hostSpeeds     map[wigeonfork.HostID]hostSpeed
	answerFraction [wigeonfork.NumClasses]decayingMean // answer length as a fraction of MaxTokens
	peerReports    bool                                // peers report the requests that they send
	rooms          map[wigeonfork.Model]*roomPolicy    // models whose requests go where there is room
	freeIndexes    []int32
	sample         []candidate // candidates of the current Choose
}

// New returns an empty Router.
func New(options Options) *Router {
	options = options.withDefaults()
	return &Router{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		index:       make(map[ID]int32),
		groups:      make(map[Deployment][]int32),
		prefix:      newPrefixTable(options.MaxPrefixes),
		memoryLimit: make(map[wigeonfork.Model]float64),
		rooms:       make(map[wigeonfork.Model]*roomPolicy),
		priors:      make(map[wigeonfork.Model]*speedPrior),
		hostSpeeds:  make(map[wigeonfork.HostID]hostSpeed),
		sample:      make([]candidate, 0, options.Choices+2*holdersPerPrefix),
	}
}

// SetServers replaces the set of servers; servers not listed are removed.
func (r *Router) SetServers(servers []Server) {
	keep := make(map[ID]bool, len(servers))
	for i := range servers {
		keep[servers[i].ID] = true
		r.Upsert(servers[i])
	}
	for id := range r.index {
		if !keep[id] {
			r.Remove(id)
		}
	}
}

// Upsert adds a server or updates its description. The state and the measured
// speed of a known server are kept.
func (r *Router) Upsert(desc Server) {
	i, known := r.index[desc.ID]
	if !known {
		i = r.allocate()
		r.servers[i] = server{}
		r.servers[i].inherit(r.hostSpeeds[desc.Host])
		r.index[desc.ID] = i
	} else {
		r.removeFromGroups(i)
	}
	r.servers[i].Server = desc
	r.servers[i].prior = r.priorOf(desc.Versions)
	for _, deployment := range desc.Versions {
		r.groups[deployment] = append(r.groups[deployment], i)
	}
}

// priorOf returns the speed prior of the first model in versions. All servers of
// a model share it.
func (r *Router) priorOf(versions []Deployment) *speedPrior {
	var model wigeonfork.Model
	if len(versions) > 0 {
		model = versions[0].Model
	}
	if r.priors[model] == nil {
		r.priors[model] = newSpeedPrior()
	}
	return r.priors[model]
}

func (r *Router) allocate() int32 {
	if n := len(r.freeIndexes); n > 0 {
		i := r.freeIndexes[n-1]
		r.freeIndexes = r.freeIndexes[:n-1]
		return i
	}
	r.servers = append(r.servers, server{})
	return int32(len(r.servers) - 1)
}

// saveHostSpeed keeps the measured speed of a server's host for the next server
// on that host.
func (r *Router) saveHostSpeed(s *server) {
	if s.Host == "" || s.gap.sampledAt.IsZero() && s.rate.sampledAt.IsZero() {
		return
	}
	if len(r.hostSpeeds) >= maxHostSpeeds {
		clear(r.hostSpeeds)
	}
	r.hostSpeeds[s.Host] = hostSpeed{gap: s.gap, rate: s.rate, longTermGap: s.longTermGap}
}

// Remove removes a server. The measured speed of its host is kept.
func (r *Router) Remove(id ID) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	r.removeFromGroups(i)
	r.prefix.removeServer(i)
	r.saveHostSpeed(&r.servers[i])
	delete(r.index, id)
	r.servers[i] = server{}
	r.freeIndexes = append(r.freeIndexes, i)
}

func (r *Router) removeFromGroups(i int32) {
	for _, deployment := range r.servers[i].Versions {
		group := r.groups[deployment]
		for k, member := range group {
			if member == i {
				group[k] = group[len(group)-1]
				group = group[:len(group)-1]
				break
			}
		}
		if len(group) == 0 {
			delete(r.groups, deployment)
		} else {
			r.groups[deployment] = group
		}
	}
}

func (r *Router) find(id ID) *server {
	i, ok := r.index[id]
	if !ok {
		return nil
	}
	return &r.servers[i]
}

// SetState sets a server's state. StateDead also discards its load and its
// cache contents.
func (r *Router) SetState(now time.Time, id ID, state State) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	s := &r.servers[i]
	if s.state == state {
		return
	}
	s.state, s.stateSince, s.suspectedLocally = state, now, false
	if state == StateDead {
		r.resetEngineState(now, i)
	}
}

// resetEngineState discards the outstanding requests and the cache contents of
// a dead engine.
func (r *Router) resetEngineState(now time.Time, i int32) {
	s := &r.servers[i]
	s.otherRequests, s.reportedOthers, s.peerRequests, s.pendingPrefill, s.ownTokens, s.backupTokens = 0, 0, 0, 0, 0, 0
	s.addOwnRequests(now, -s.ownRequests)
	s.occupancy = occupancy{}
	r.prefix.removeServer(i)
}

// Report applies a load report. Reports older than the newest one are ignored. A
// changed incarnation discards the recorded cache contents.
func (r *Router) Report(now time.Time, id ID, load backend.LoadReport) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	s := &r.servers[i]
	if s.isOutdated(load) {
		return
	}
	if s.incarnation != "" && load.Incarnation != s.incarnation {
		r.prefix.removeServer(i)
	}
	s.report(now, load, r.peerReports)
	r.correctRoom(now, load.MeasuredAt, s)
}

// CacheEvent applies a change that a server reported of its prefix cache.
func (r *Router) CacheEvent(now time.Time, id ID, event backend.CacheEvent) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	if event.Removed {
		r.prefix.remove(event.Prefix, i)
		return
	}
	r.prefix.add(now, Prefix{Hash: event.Prefix, Tokens: event.Tokens}, i)
}

// HasPrefix reports whether any server probably has a prefix cached.
func (r *Router) HasPrefix(prefix uint64) bool {
	entry := r.prefix.find(prefix)
	return entry != nil && entry.count > 0
}

// Started charges a server with a request that was sent to it.
func (r *Router) Started(now time.Time, id ID, work Work) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	s := &r.servers[i]
	s.addOwnRequests(now, 1)
	s.ownTokens += work.tokens()
	r.occupyOwn(now, i, &work)
	_, cachedCredit := r.prefix.cached(now, work.Prefixes, i, r.options.CacheHalfLife)
	_, rate, _ := r.speed(now, s)
	if !work.HasBackup {
		s.addPrefill(now, rate, max(0, float64(work.PromptTokens)-cachedCredit))
	}
	for _, p := range work.Prefixes {
		r.prefix.add(now, p, i)
	}
}

// PeerStarted records that another entry sent a request to a server. Peers do
// not report the end of a request: the count decays with the usual duration of
// a request, and the next load report replaces it.
func (r *Router) PeerStarted(now time.Time, id ID, work Work) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	s := &r.servers[i]
	_, rate, service := r.speed(now, s)
	_, cachedCredit := r.prefix.cached(now, work.Prefixes, i, r.options.CacheHalfLife)
	running := s.runningPeerRequests(now, service)
	if s.isPlain() {
		running = s.runningPlain(now)
	}
	s.peerRequests = running + 1
	s.peerRequestsAt = now
	r.occupyPeer(now, i, &work)
	s.addPrefill(now, rate, max(0, float64(work.PromptTokens)-cachedCredit))
	for _, p := range work.Prefixes {
		r.prefix.add(now, p, i)
	}
}

// MeasuredSpeed returns a server's inter-token time in an empty batch and its
// prefill rate in tokens per second. ok is false if there is no inter-token time
// yet. The rate is 0 if there is no sample of it.
func (r *Router) MeasuredSpeed(id ID) (gap time.Duration, rate float64, ok bool) {
	s := r.find(id)
	if s == nil || s.gap.sampledAt.IsZero() {
		return 0, 0, false
	}
	return seconds(s.gap.value), s.rate.value, true
}

// PeerSpeed adds the speed of a server that another entry measured: the
// inter-token time in an empty batch and the prefill rate in tokens per second. It
// has the weight of a sample of this router.
func (r *Router) PeerSpeed(now time.Time, id ID, gap time.Duration, rate float64) {
	s := r.find(id)
	if s == nil || gap <= 0 || gap > maxValidGap {
		return
	}
	s.learnGap(now, gap.Seconds())
	if rate > 0 {
		s.learnRate(now, rate)
	}
}

// SetPeerReports sets whether other entries report the requests that they send.
// If they do, the prefill backlog of a server is known. Otherwise it is
// extrapolated from this router's requests.
func (r *Router) SetPeerReports(enabled bool) { r.peerReports = enabled }

// FirstToken records the first token of a stream.
func (r *Router) FirstToken(now time.Time, id ID, first FirstToken) {
	s := r.find(id)
	if s == nil {
		return
	}
	s.lastFirstTokenAt = now
	s.tookRequest()
	if now.Add(-first.Wait).After(s.stateSince) {
		s.probeStreaming = true
	}
	uncached := float64(first.PromptTokens) - float64(first.CachedTokens)
	if uncached < 1 || first.Wait <= 0 {
		return
	}
	if float64(s.ownRequests) <= s.slots() {
		s.learnRate(now, uncached/first.Wait.Seconds())
	}
}

// Progress records gap, the mean inter-token time of a stream over its last
// tokens. It may make a server ready again, see MarkUnhealthy.
func (r *Router) Progress(now time.Time, id ID, tokens int, gap time.Duration) {
	s := r.find(id)
	if s == nil || tokens <= 0 || gap <= 0 || gap > maxValidGap {
		return
	}
	n := s.outstanding(now, 0)
	normalised := gap.Seconds() / s.slowdown(n)
	s.checkRecovery(normalised)
	if s.state != StateSuspect {
		s.learnGap(now, normalised)
		moveToward(&s.prior.gap, normalised, normalised < s.prior.gap)
		s.longTermGap.observe(now, normalised, longTermLearning, 0)
	}
}

// Finished releases the load of a finished request.
func (r *Router) Finished(now time.Time, id ID, work Work, result Result) {
	s := r.find(id)
	if s == nil {
		return
	}
	if result.Duration > 0 && work.PromptTokens == 0 && s.prior.capacity.ReportsSlowdown() {
		s.learnPlain(now, result.Duration.Seconds())
	}
	s.release(now, work)
	r.vacateOwn(now, s, &work, true)
	s.tookRequest()
	if result.Duration > 0 {
		s.service.observe(now, result.Duration.Seconds(), longTermLearning, minSampleWeight)
		moveToward(&s.prior.service, result.Duration.Seconds(), result.Duration.Seconds() < s.prior.service)
	}
	if work.MaxTokens > 0 {
		r.answerFraction[work.Class%wigeonfork.NumClasses].observe(now, float64(result.Tokens)/float64(work.MaxTokens), longTermLearning, minSampleWeight)
	}
}

// Failed releases the load of a request that did not finish. It does not change
// the state of the server; see SetState.
func (r *Router) Failed(now time.Time, id ID, work Work) {
	if s := r.find(id); s != nil {
		s.release(now, work)
		r.vacateOwn(now, s, &work, false)
	}
}
