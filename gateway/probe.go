package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/health"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// probe checks that a server accepts a connection. It does not use the health
// endpoint, whose answer may be lost or wrong.
func (g *Gateway) probe(entry directory.Entry) {
	sentAt := time.Now()
	err := g.connect(entry)
	telemetry.Counter(g.options.Metrics, "fleet.probes").Inc(1)
	if err != nil {
		g.fleet.probeFailed(time.Now(), entry.ID, err)
		return
	}
	g.crashes.serverResponds(sentAt, entry)
	g.fleet.probeAnswered(time.Now(), sentAt, entry.ID)
}

func (g *Gateway) connect(entry directory.Entry) error {
	ctx, cancel := context.WithTimeout(g.background, health.ProbeTimeout)
	defer cancel()
	return g.pool.Connect(ctx, upstream.Server{ID: string(entry.ID), Address: entry.Address}, g.maxIdle(entry.Service))
}

// checkRecovery checks whether a lost server is reachable again. A crashed server may
// restart at its address under a new id, and respond before the registry lists it.
func (g *Gateway) checkRecovery(entry directory.Entry) {
	sentAt := time.Now()
	id, err := g.identify(entry)
	now, since := time.Now(), g.fleet.sinceSeen(bootClock(), entry.ID)
	switch {
	case err != nil && infra.OutcomeOf(err) == infra.OutcomeNotDone:
		// Nothing answers there yet.
	case err != nil:
		g.options.Log.Info().Str("server", string(entry.ID)).Err(err).Msg("server_not_identified")
	case id == entry.ID:
		g.confirmSameStart(entry)
		g.fleet.confirmed(now, sentAt, entry.ID)
	default:
		g.adopt(now, entry, id, since)
	}
}

// confirmSameStart tells the crash guard that a server that answers again has not restarted, if that
// matters to it. A server may restart under its id; only an engine's report says when it started.
func (g *Gateway) confirmSameStart(entry directory.Entry) {
	if !g.crashes.awaits(entry) && !g.partGuard.awaits(entry) {
		return
	}
	report, err := g.engineReport(entry)
	if err == nil && report.Engine && report.Born != 0 && report.Born == entry.Born {
		g.fleet.onReturned(time.Now(), entry)
	}
}

// adopt marks a server as replaced by the one that answers at its address. It adds the new server only if that is proved
// to be of the same service: it answered before another service could get the address. since is the time from the lost
// server's last sign of life to that answer; 0 if there was none.
func (g *Gateway) adopt(now time.Time, old directory.Entry, id serverID, since time.Duration) {
	g.fleet.markReplaced(now, old.ID)
	if !directory.ProvesService(since, g.bounds.Load().ReuseAfter) {
		g.options.Log.Info().Str("server", string(id)).Str("address", old.Address).Int64("since_ms", since.Milliseconds()).Msg("server_not_adopted")
		return
	}
	table := g.config.table()
	if table == nil || !table.IsSoleEngineService(old.Service) {
		return
	}
	report, err := g.engineReport(old)
	if err != nil || !report.Engine {
		g.options.Log.Info().Str("server", string(id)).Str("address", old.Address).Err(err).Msg("server_not_adopted")
		return
	}
	adopted := old
	adopted.ID, adopted.Born = id, report.Born
	g.fleet.adopt(now, adopted)
	g.gossip.sendRegistryUpdate(&loadshare.RegistryUpdate{Adopted: &loadshare.Adoption{Lost: old.ID, Adopted: adopted, Since: since}})
}

// identify returns the id of the server that answers at the address of entry. If the id
// is not that of entry, the status must be 200.
func (g *Gateway) identify(entry directory.Entry) (serverID, error) {
	table := g.config.table()
	if table == nil || table.Service(entry.Service) == nil {
		return "", errors.Newf("service %q is not configured", string(entry.Service))
	}
	response, _, err := g.fetch(entry, table.Service(entry.Service).HealthPath)
	if err != nil {
		return "", err
	}
	reply := g.options.Codec.ParseReply(response.Status, response.Header)
	if reply.Server == "" || response.Status != http.StatusOK && reply.Server != entry.ID {
		return "", errors.Newf("status %d of server %q", response.Status, string(reply.Server))
	}
	return reply.Server, nil
}

func (g *Gateway) engineReport(entry directory.Entry) (EngineReport, error) {
	response, body, err := g.fetch(entry, g.options.Codec.ReportTarget())
	if err != nil {
		return EngineReport{}, err
	}
	return g.options.Codec.ReadReport(response.Status, body)
}
