package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/serverlimit"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

const (
	// grantTimeout bounds the time that a request waits for the grant of a peer's coordinator. A grant that comes later is
	// not used.
	grantTimeout = 60 * time.Millisecond
	// unansweredPause is the time without requests to the limited servers of a service after its coordinator has not
	// answered.
	unansweredPause = 200 * time.Millisecond
	// maxBlock bounds the time after which a coordinator is asked again.
	maxBlock = 2 * time.Second
)

// limitedError says that the servers of a service take no more requests now. One of them may take another at freeAt, a
// time of bootTime, and all together take rate requests a second from all entries.
type limitedError struct {
	service wigeonfork.Model
	freeAt  time.Time
	rate    float64
}

func (e *limitedError) Error() string { return "the backend servers take no more requests now" }

// blockedServers returns the servers of a service that may get no request now.
func (l *serverLimits) blockedServers(service wigeonfork.Model) []serverID {
	now := bootTime()
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []serverID
	for id, server := range l.blocked {
		switch {
		case !now.Before(server.askAt):
			delete(l.blocked, id)
		case l.services[id] == service:
			list = append(list, id)
		}
	}
	return list
}

// limitedServers returns the servers of a service that name a limit.
func (l *serverLimits) limitedServers(service wigeonfork.Model) []serverID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []serverID
	for id, of := range l.services {
		if _, limited := l.table.Rate(id); limited && of == service {
			list = append(list, id)
		}
	}
	return list
}

// explain returns the error of a choice that found no server. If it would have found one of blocked, it is a
// *limitedError.
func (l *serverLimits) explain(err error, q *query, blocked []serverID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	limited := &limitedError{service: q.service}
	for _, id := range blocked {
		server, ok := l.blocked[id]
		if !ok || slices.Contains(q.exclude, id) {
			continue
		}
		if limited.freeAt.IsZero() || server.freeAt.Before(limited.freeAt) {
			limited.freeAt = server.freeAt
		}
		rate, _ := l.table.Rate(id)
		limited.rate += rate
	}
	if limited.freeAt.IsZero() {
		return err
	}
	return limited
}

// retryAfter returns the time after which a caller may come back that is refused since its servers take no more
// requests now, and false if err has another reason.
func (l *serverLimits) retryAfter(err error) (time.Duration, bool) {
	var limited *limitedError
	if !errors.As(err, &limited) {
		return 0, false
	}
	now := bootTime()
	entries := float64(1 + l.g.livePeers.Load())
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.returnsOf(limited.service).After(now, max(0, limited.freeAt.Sub(now)), limited.rate/entries), true
}

// returnsOf returns the times at which callers of a service may come back.
func (l *serverLimits) returnsOf(service wigeonfork.Model) *serverlimit.ReturnSchedule {
	r := l.returns[service]
	if r == nil {
		r = &serverlimit.ReturnSchedule{}
		l.returns[service] = r
	}
	return r
}

// permits reports whether the limit of a server allows the request for which it was chosen. It asks the coordinator that
// grants the requests to the servers of its service, and blocks the server if that does not grant this one, or all
// limited servers of the service if the coordinator does not answer.
func (l *serverLimits) permits(ctx context.Context, place *placement) bool {
	rate, limited := l.rate(place.ID)
	if !limited {
		return true
	}
	grant, answered := l.ask(ctx, place, rate)
	switch {
	case !answered:
		telemetry.Counter(l.g.options.Metrics, "limits.unanswered").Inc(1)
		l.block(unansweredPause, l.limitedServers(place.Service)...)
	case !grant.Granted:
		l.block(grant.RetryAfter, place.ID)
	default:
		telemetry.Counter(l.g.options.Metrics, "limits.granted").Inc(1)
		return true
	}
	telemetry.Counter(l.g.options.Metrics, "limits.denied").Inc(1)
	return false
}

// block lets no request go to some servers whose coordinator may grant one after wait.
func (l *serverLimits) block(wait time.Duration, ids ...serverID) {
	now := bootTime()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.blocked[id] = blockedServer{askAt: now.Add(min(wait, maxBlock)), freeAt: now.Add(wait)}
	}
}

// ask asks the coordinator of a server's service for one request. It returns false if that does not answer in time.
func (l *serverLimits) ask(ctx context.Context, place *placement, rate float64) (serverlimit.Grant, bool) {
	now, service := bootTime(), loadshare.HashService(place.Service)
	ask := &loadshare.LimitAsk{ID: rand.Uint64(), Server: place.ID, Rate: rate}
	l.mu.Lock()
	l.services[place.ID] = place.Service
	group := l.group(now, service)
	group.usedAt = now
	coordinator := l.coordinatorOf(now, service, group)
	l.mu.Unlock()
	if coordinator == l.g.limitEntry() {
		grant := l.decide(now, service, ask)
		return serverlimit.Grant{Granted: grant.Granted, RetryAfter: grant.RetryAfter}, true
	}
	return l.askPeer(ctx, coordinator, service, ask)
}

// askPeer asks a peer's coordinator.
func (l *serverLimits) askPeer(ctx context.Context, coordinator serverlimit.Entry, service loadshare.ServiceHash, ask *loadshare.LimitAsk) (serverlimit.Grant, bool) {
	address, err := netip.ParseAddrPort(string(coordinator))
	if err != nil {
		return serverlimit.Grant{}, false
	}
	answer := make(chan serverlimit.Grant, 1)
	l.mu.Lock()
	l.asks[ask.ID] = answer
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.asks, ask.ID)
	}()
	askedAt := bootTime()
	l.g.gossip.sendLimitUpdate([]netip.AddrPort{address}, &loadshare.LimitUpdate{Service: service, Ask: ask})
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case grant := <-answer:
		return grant, bootTime().Sub(askedAt) <= grantTimeout
	case <-timer.C:
	case <-ctx.Done():
	}
	return serverlimit.Grant{}, false
}

// decide decides as the coordinator of a service on one request to a server with a limit.
func (l *serverLimits) decide(now time.Time, service loadshare.ServiceHash, ask *loadshare.LimitAsk) *loadshare.LimitGrant {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := ask.Rate
	if known, limited := l.table.Rate(ask.Server); limited {
		rate = min(rate, known)
	}
	group := l.group(now, service)
	group.usedAt = now
	grant := group.coordinator.Ask(now, ask.Server, rate)
	return &loadshare.LimitGrant{ID: ask.ID, Granted: grant.Granted, RetryAfter: grant.RetryAfter}
}

// handleGrant hands the answer of a peer's coordinator to the request that waits for it.
func (l *serverLimits) handleGrant(g *loadshare.LimitGrant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer := l.asks[g.ID]; answer != nil {
		// The channel has room for the one answer.
		answer <- serverlimit.Grant{Granted: g.Granted, RetryAfter: g.RetryAfter}
		delete(l.asks, g.ID)
	}
}
