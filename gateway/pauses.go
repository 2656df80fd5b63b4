package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/serverpause"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// pauseReturnRate is the number of refused callers a second that may come back for each server after its pause, as
// requests come back there one after another.
const pauseReturnRate = 8.0

// serverPauses keeps requests from the servers that have asked this entry for a pause. Its lock is held over no I/O. Its
// times are those of bootTime.
type serverPauses struct {
	g *Gateway

	mu    sync.Mutex
	table *serverpause.Table
}

func newServerPauses(g *Gateway) *serverPauses {
	return &serverPauses{g: g, table: serverpause.NewTable()}
}

// observe applies what the head of a server's answer says about a pause. A refusal that names none says nothing.
func (p *serverPauses) observe(place *placement, response *upstream.Response, reply *Reply) {
	now := bootTime()
	switch {
	case reply.MalformedPause != "":
		telemetry.Counter(p.g.options.Metrics, "pauses.malformed").Inc(1)
		p.g.options.Log.Warn().Str("server", string(place.ID)).Str("value", reply.MalformedPause).Msg("server_pause_malformed")
	case reply.Pause > 0:
		p.asked(now, place.ID, reply.Pause)
	case !reply.NotRun:
		p.mu.Lock()
		defer p.mu.Unlock()
		p.table.Served(now.Add(-time.Since(response.SentAt)), place.ID)
	}
}

func (p *serverPauses) asked(now time.Time, id serverID, length time.Duration) {
	p.mu.Lock()
	isNew := p.table.Asked(now, id, length)
	p.mu.Unlock()
	if isNew {
		telemetry.Counter(p.g.options.Metrics, "pauses.asked").Inc(1)
		p.g.options.Log.Info().Str("server", string(id)).Int64("length_ms", length.Milliseconds()).Msg("server_pause")
	}
}

// admit decides whether a request may be sent to a server now.
func (p *serverPauses) admit(id serverID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Admit(bootTime(), id)
}

// blocked returns the servers that get no request now.
func (p *serverPauses) blocked() []serverID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Blocked(bootTime())
}

// isPaused reports whether a server has asked for a pause and is not fully open again.
func (p *serverPauses) isPaused(id serverID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, paused := p.table.FreeAt(bootTime(), id)
	return paused
}

// forget drops the pause of a server that has ended.
func (p *serverPauses) forget(id serverID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Forget(id)
}

// explain returns the error of a choice that found no server. If it would have found a paused one, it is a
// *limitedError.
func (p *serverPauses) explain(err error, q *query) error {
	limited := &limitedError{service: q.service}
	if known := (*limitedError)(nil); errors.As(err, &known) {
		*limited = *known
	}
	entries := float64(1 + p.g.livePeers.Load())
	now := bootTime()
	for _, id := range p.blocked() {
		service, known := p.g.fleet.serviceOf(id)
		if !known || service != q.service || slices.Contains(q.exclude, id) {
			continue
		}
		p.mu.Lock()
		freeAt, _ := p.table.FreeAt(now, id)
		p.mu.Unlock()
		if limited.freeAt.IsZero() || freeAt.Before(limited.freeAt) {
			limited.freeAt = freeAt
		}
		limited.rate += pauseReturnRate * entries
	}
	if limited.freeAt.IsZero() {
		return err
	}
	return limited
}
