package gateway

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/serverlimit"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// serverLimits keeps the limits on requests that servers name, and decides with the peers which requests those servers
// get. Its lock is held over no I/O. Its times are those of bootTime.
type serverLimits struct {
	g *Gateway

	mu      sync.Mutex
	table   *serverlimit.Table
	members *serverlimit.Members
	// groups holds this entry's part in the limits of each service, and services the service of each limited server
	// that has been met.
	groups   map[loadshare.ServiceHash]*limitGroup
	services map[serverID]wigeonfork.Model
	// followedAt is when the services of the limits in force were last looked up.
	followedAt time.Time
	// removeAgainAt is when silent entries may be removed again.
	removeAgainAt time.Time
	// agreeUntil is the time until which the entries agree on who they are.
	agreeUntil time.Time
	// blocked holds the limited servers that take no request now, and returns spreads the callers that are refused
	// for them over the requests of each service.
	blocked map[serverID]blockedServer
	returns map[wigeonfork.Model]*serverlimit.ReturnSchedule
	// asks holds the requests that wait for a grant of a peer's coordinator, by their ids.
	asks map[uint64]chan serverlimit.Grant
}

// limitGroup is the part of this entry in the limits of one service.
type limitGroup struct {
	delegator   *serverlimit.Delegator
	coordinator *serverlimit.Coordinator
	// usedAt is when a limited server of the service was last met here or at a peer.
	usedAt time.Time
}

// blockedServer is a limited server that takes no request now.
type blockedServer struct {
	// askAt is when its coordinator is asked again, and freeAt when that may grant a request as far as known. Shares
	// may change, so that a coordinator is asked again before.
	askAt, freeAt time.Time
}

// bootTime returns the time of a clock that goes on while the host is suspended, as a time that may be compared with
// others of it only.
func bootTime() time.Time { return time.Unix(0, int64(bootClock())) }

func newServerLimits(g *Gateway) *serverLimits {
	return &serverLimits{
		g: g, table: serverlimit.NewTable(), members: g.newLimitMembers(),
		groups:   make(map[loadshare.ServiceHash]*limitGroup),
		services: make(map[serverID]wigeonfork.Model),
		blocked:  make(map[serverID]blockedServer),
		returns:  make(map[wigeonfork.Model]*serverlimit.ReturnSchedule),
		asks:     make(map[uint64]chan serverlimit.Grant),
	}
}

// newLimitMembers returns the entries that share limits as far as known at the start of this one.
func (g *Gateway) newLimitMembers() *serverlimit.Members {
	if g.gossip == nil {
		return serverlimit.NewSoleMember(g.limitEntry())
	}
	return serverlimit.NewMembers(bootTime(), g.limitEntry())
}

// limitEntry returns this entry as its peers name it.
func (g *Gateway) limitEntry() serverlimit.Entry {
	if g.gossip == nil {
		return ""
	}
	return entryOf(g.gossip.self())
}

func entryOf(address netip.AddrPort) serverlimit.Entry { return serverlimit.Entry(address.String()) }

// group returns the part of this entry in the limits of a service, which it creates if necessary.
func (l *serverLimits) group(now time.Time, service loadshare.ServiceHash) *limitGroup {
	group := l.groups[service]
	if group == nil {
		delegator := serverlimit.NewDelegator(l.members)
		group = &limitGroup{delegator: delegator, coordinator: serverlimit.NewCoordinator(now, l.members, delegator, rand.Int64())}
		l.groups[service] = group
	}
	return group
}

// observe applies what the head of a server's answer says about its limit. A server that refuses a request without
// naming a limit says nothing, and neither does one that names a malformed limit.
func (l *serverLimits) observe(place *placement, reply *Reply) {
	if reply.MalformedLimit != "" {
		telemetry.Counter(l.g.options.Metrics, "limits.malformed").Inc(1)
		l.g.options.Log.Warn().Str("server", string(place.ID)).Str("value", reply.MalformedLimit).Msg("server_limit_malformed")
		return
	}
	if reply.NotRun && !reply.Limit.Limited {
		return
	}
	now := bootTime()
	if l.apply(now, now, place.ID, reply.Limit, "own_answer") != serverlimit.Unchanged {
		report := loadshare.LimitReport{Server: place.ID, Limited: reply.Limit.Limited, Rate: reply.Limit.Rate}
		l.g.gossip.sendLimitUpdate(l.g.gossip.targets(time.Now()), &loadshare.LimitUpdate{Reports: []loadshare.LimitReport{report}})
	}
}

// apply applies what a server said at a time, and logs what it changes.
func (l *serverLimits) apply(now, at time.Time, id serverID, s serverlimit.Statement, source string) serverlimit.Change {
	l.mu.Lock()
	change := l.table.Observe(at, id, s)
	if change != serverlimit.Unchanged {
		delete(l.blocked, id)
	}
	l.mu.Unlock()
	if change == serverlimit.Unchanged {
		return change
	}
	telemetry.Counter(l.g.options.Metrics, "limits."+change.String()).Inc(1)
	l.g.options.Log.Info().Str("server", string(id)).Str("change", change.String()).Float64("rate", s.Rate).Str("source", source).
		Int64("age_ms", now.Sub(at).Milliseconds()).Msg("server_limit")
	return change
}

// forget drops the limit of a server that has ended.
func (l *serverLimits) forget(id serverID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Forget(id)
	delete(l.blocked, id)
	delete(l.services, id)
}

// rate returns the limit of a server, and false if it names none.
func (l *serverLimits) rate(id serverID) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Rate(id)
}

// isLimited reports whether a server names a limit.
func (l *serverLimits) isLimited(id serverID) bool {
	_, limited := l.rate(id)
	return limited
}

// reports returns the limits in force, at most as many as fit in a datagram.
func (l *serverLimits) reports(now time.Time) []loadshare.LimitReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []loadshare.LimitReport
	for _, limit := range l.table.Limits(now) {
		list = append(list, loadshare.LimitReport{Server: limit.Server, Limited: true, Rate: limit.Rate, Age: now.Sub(limit.At)})
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), loadshare.MaxLimitReports)]
}

// applyReports applies a peer's reports, and forwards those that change something here and may be passed on.
func (l *serverLimits) applyReports(now time.Time, reports []loadshare.LimitReport) {
	var news []loadshare.LimitReport
	for i := range reports {
		r := &reports[i]
		if l.apply(now, now.Add(-max(r.Age, 0)), r.Server, r.Statement(), "peer") == serverlimit.Unchanged {
			continue
		}
		if next, ok := r.PassedOn(); ok {
			news = append(news, next)
		}
	}
	if len(news) > 0 {
		targets := loadshare.ForwardTargets(l.g.gossip.targets(time.Now()))
		l.g.gossip.sendLimitUpdate(targets, &loadshare.LimitUpdate{Reports: news})
	}
}

// peerAppeared tells a peer that was not live which limits are in force, and agrees with all entries on who they are.
func (l *serverLimits) peerAppeared(peer netip.AddrPort) {
	now := bootTime()
	l.mu.Lock()
	l.agreeUntil = now.Add(agreementPeriod)
	l.mu.Unlock()
	if reports := l.reports(now); len(reports) > 0 {
		l.g.gossip.sendLimitUpdate([]netip.AddrPort{peer}, &loadshare.LimitUpdate{Reports: reports})
	}
}

// handle handles a peer's update.
func (l *serverLimits) handle(sender netip.AddrPort, u *loadshare.LimitUpdate) {
	now := bootTime()
	l.applyReports(now, u.Reports)
	switch {
	case u.Renewal != nil:
		l.handleRenewal(now, sender, u)
	case u.Answer != nil:
		l.handleAnswer(now, sender, u)
	case u.Ask != nil:
		grant := l.decide(now, u.Service, u.Ask)
		l.g.gossip.sendLimitUpdate([]netip.AddrPort{sender}, &loadshare.LimitUpdate{Service: u.Service, Grant: grant})
	case u.Grant != nil:
		l.handleGrant(u.Grant)
	}
}

// sendLimitUpdate sends an update to some peers.
func (s *gossiper) sendLimitUpdate(targets []netip.AddrPort, u *loadshare.LimitUpdate) {
	if s == nil || len(targets) == 0 {
		return
	}
	datagram, err := loadshare.AppendLimitUpdate(nil, s.port, u)
	if err != nil {
		s.g.options.Log.Error().Err(err).Msg("limit_not_told")
		return
	}
	telemetry.Counter(s.g.options.Metrics, "limits.bytes_sent").Inc(int64(len(targets) * len(datagram)))
	s.sendAll(targets, datagram)
}

// handleLimitUpdate handles a datagram about limits.
func (s *gossiper) handleLimitUpdate(now time.Time, data []byte, from netip.AddrPort) error {
	sender, update, err := loadshare.ParseLimitUpdate(data, from)
	if err != nil {
		return err
	}
	s.recordPeer(now, sender)
	s.g.limits.handle(sender, update)
	return nil
}
