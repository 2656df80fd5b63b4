package gateway

import (
	"context"
	"slices"
	"time"
)

// choose chooses the server of a request, like fleet.choose, among those whose limits and pauses allow another request.
// If none does, the error is a *limitedError.
func (g *Gateway) choose(ctx context.Context, q *query) (*placement, error) {
	allowed := *q
	for {
		blocked := g.limits.blockedServers(q.service)
		allowed.exclude = slices.Concat(q.exclude, blocked, g.pauses.blocked())
		place, err := g.fleet.choose(time.Now(), &allowed)
		if err != nil {
			return nil, g.pauses.explain(g.limits.explain(err, q, blocked), q)
		}
		if g.admit(place, q) && g.start(ctx, place, q) {
			return place, nil
		}
	}
}

// assign assigns the given server to a request, like fleet.assign, if its limit and pause allow another request.
func (g *Gateway) assign(ctx context.Context, id serverID, q *query) *placement {
	place := g.fleet.assign(time.Now(), id, q.work)
	if place == nil || !g.admit(place, q) || !g.start(ctx, place, q) {
		return nil
	}
	return place
}

// admit reports whether the server of a placement has asked for no pause that forbids the request. Otherwise it
// releases the server from the work.
func (g *Gateway) admit(place *placement, q *query) bool {
	if g.pauses.admit(place.ID) {
		return true
	}
	if !place.unstarted {
		g.fleet.failed(time.Now(), place, q.work)
	}
	return false
}

// start charges the server of a placement with the work, once its limit allows the request. It returns false if that
// does not, or the server takes no requests any more.
func (g *Gateway) start(ctx context.Context, place *placement, q *query) bool {
	if !place.unstarted {
		return true
	}
	return g.limits.permits(ctx, place) && g.fleet.start(time.Now(), place, q.work)
}
