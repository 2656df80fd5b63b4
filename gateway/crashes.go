package gateway

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

const (
	// maxStateRequests bounds the peers that are asked for their reports within
	// stateRequestPeriod.
	maxStateRequests   = 3
	stateRequestPeriod = 2 * time.Second
	// lossReportRate is the number of lost runs that an entry reports a second before their outcome is
	// known, and lossReportBurst that at once. Of further ones only the crashes are reported.
	lossReportRate  = 8
	lossReportBurst = 16
	// maxStateReports bounds the reports sent to a peer that asks for them.
	maxStateReports = 4 * loadshare.MaxCrashReports
	// maxHoldPause bounds the time until a held request is checked again, since a silent server may
	// return before the outcome is due.
	maxHoldPause = 40 * time.Millisecond
)

// contentOf identifies the content of a request. Requests that differ only in their id have the
// same one.
func contentOf(host, target, workspace string, body []byte) quarantine.ContentHash {
	h := xxhash.New()
	for _, part := range [...]string{host, target, workspace} {
		// Writes to a hash never fail.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return quarantine.ContentHash(h.Sum64())
}

// contentBytes returns a content hash as it is logged.
func contentBytes(content quarantine.ContentHash) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(content))
}

// serverStart returns the identity of a server's current start.
func serverStart(entry directory.Entry) quarantine.ServerStart {
	return quarantine.ServerStart{ID: entry.ID, Born: entry.Born}
}

// crashGuard decides which requests are refused because they crash backend servers. It shares the
// crashes with the peers and keeps quarantines in the store. Its lock is held over no I/O.
type crashGuard struct {
	g *Gateway
	// unsaved holds the quarantines that the store doesn't have yet.
	unsaved *saveQueue[quarantine.Quarantine]

	mu      sync.Mutex
	limiter *quarantine.Limiter
	// coordinator grants the trials of suspects for which this entry is asked.
	coordinator *quarantine.TrialCoordinator
	// lossReports limits the reports on lost runs.
	lossReports *rate.Limiter
	// stateRequests counts the requests for a peer's reports since stateRequestsAt.
	stateRequests   int
	stateRequestsAt time.Time
}

func newCrashGuard(g *Gateway) *crashGuard {
	limiter := quarantine.NewLimiter()
	return &crashGuard{
		g: g, limiter: limiter, coordinator: quarantine.NewTrialCoordinator(limiter), unsaved: newSaveQueue[quarantine.Quarantine](),
		lossReports: rate.NewLimiter(lossReportRate, lossReportBurst),
	}
}

// serverLost records that a server does not respond, and tells the peers of the runs that were lost with it.
func (c *crashGuard) serverLost(now time.Time, entry directory.Entry) {
	c.mu.Lock()
	c.limiter.ServerLost(now, serverStart(entry), entry.Domain)
	losses := c.limiter.TakeLosses()
	c.mu.Unlock()
	c.reportLosses(now, losses)
}

// serverReturned records that a server that was lost is the same start as before.
func (c *crashGuard) serverReturned(now time.Time, entry directory.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.ServerReturned(now, serverStart(entry))
}

// awaits reports whether the outcome of a run at a server is awaited.
func (c *crashGuard) awaits(entry directory.Entry) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.Awaits(serverStart(entry))
}

// lostRun describes how a run ended without a complete answer.
type lostRun struct {
	// silent is set if only the server's silence ended the run, begun if it had begun to answer, and
	// trial if it was a trial.
	silent, begun, trial bool
}

// runLost records that a run of a request ended without a complete answer, and tells the peers if its server was lost
// with it. A server that is no longer registered, so that nothing probes it, counts as lost. The peers are told at once
// of a trial whose connection broke before it had begun to answer, so that the next trial is granted with that evidence.
func (c *crashGuard) runLost(now time.Time, content quarantine.ContentHash, p *placement, how lostRun) {
	registered := c.g.fleet.registered(p.ID)
	crash := quarantine.Crash{Content: content, Server: serverStart(p.Entry), Began: p.sentAt, At: now, Begun: how.begun, Trial: how.trial}
	losses := c.recordLostRun(now, crash, p.Domain, how.silent, registered)
	if how.trial && !how.silent && !how.begun && len(losses) == 0 {
		losses = append(losses, quarantine.Loss{Crash: crash})
	}
	c.reportLosses(now, losses)
}

// recordLostRun records a lost run, and the loss of its server if that is not registered. It returns the losses of which
// the peers must be told.
func (c *crashGuard) recordLostRun(now time.Time, crash quarantine.Crash, domain wigeonfork.FailureDomain, silent, registered bool) []quarantine.Loss {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !registered {
		c.limiter.ServerLost(now, crash.Server, domain)
	}
	c.limiter.RunLost(crash, domain, silent)
	return c.limiter.TakeLosses()
}

// reportLosses tells the peers of lost runs before their outcome is known, so that they run these requests only as
// trials.
func (c *crashGuard) reportLosses(now time.Time, losses []quarantine.Loss) {
	var reports []loadshare.CrashReport
	for _, loss := range losses {
		if c.lossReports.AllowN(now, 1) {
			reports = append(reports, loadshare.LossOf(now, loss))
		}
	}
	if len(reports) > 0 {
		c.g.gossip.sendCrashReports(c.g.gossip.targets(now), reports)
	}
}

// serverResponds records that a server took a connection that was opened at a time.
func (c *crashGuard) serverResponds(openedAt time.Time, entry directory.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.ServerResponds(openedAt, serverStart(entry))
}

// begun records that a run of a request began to answer.
func (c *crashGuard) begun(now time.Time, content quarantine.ContentHash) {
	begin := quarantine.Completion{Content: content, At: now}
	c.mu.Lock()
	cleared := c.limiter.Begin(begin)
	c.mu.Unlock()
	if cleared {
		c.g.gossip.sendCrashReports(c.g.gossip.targets(now), []loadshare.CrashReport{loadshare.BeginOf(now, begin)})
	}
}

// askCoordinator decides on a trial for which this entry or a peer asks.
func (c *crashGuard) askCoordinator(now time.Time, r quarantine.TrialRequest) quarantine.TrialAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coordinator.Ask(now, r)
}

// coordinatorTold records that a trial was renewed or has ended.
func (c *crashGuard) coordinatorTold(now time.Time, u *loadshare.TrialUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Kind == loadshare.TrialEnded {
		c.coordinator.End(now, u.Content, u.ID, u.Sent)
		return
	}
	c.coordinator.Renew(now, u.Request())
}

// completed records that a request ran to its end.
func (c *crashGuard) completed(now time.Time, content quarantine.ContentHash) {
	completion := quarantine.Completion{Content: content, At: now}
	if c.complete(completion) {
		c.g.gossip.sendCrashReports(c.g.gossip.targets(now), []loadshare.CrashReport{loadshare.CompletionOf(now, completion)})
	}
}

// complete applies a complete run. It returns whether that cleared losses.
func (c *crashGuard) complete(completion quarantine.Completion) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coordinator.Cleared(completion.Content)
	return c.limiter.Complete(completion)
}

func (c *crashGuard) check(now time.Time, content quarantine.ContentHash) quarantine.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.Check(now, content)
}

// mayRun reports whether a request may run. It waits while the outcome of an earlier run is
// awaited, and returns false if ctx ends first.
func (c *crashGuard) mayRun(ctx context.Context, content quarantine.ContentHash) bool {
	for {
		decision := c.check(time.Now(), content)
		switch decision.Action {
		case quarantine.Run:
			return true
		case quarantine.Refuse:
			return false
		}
		timer := time.NewTimer(min(decision.RetryAfter, maxHoldPause))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

// settle decides which lost runs count as crashes, and reports those to the peers.
func (c *crashGuard) settle(now time.Time) {
	c.mu.Lock()
	verdicts := c.limiter.Settle(now)
	c.mu.Unlock()
	var reports []loadshare.CrashReport
	for i := range verdicts {
		v := &verdicts[i]
		telemetry.Counter(c.g.options.Metrics, "crashes."+v.Outcome.String()).Inc(1)
		c.g.options.Log.Info().Hex("content", contentBytes(v.Content)).Str("server", string(v.Server.ID)).
			Int64("ran_ms", v.At.Sub(v.Began).Milliseconds()).Str("outcome", v.Outcome.String()).
			Int("servers", v.Servers).Int("evidence", v.Evidence).Msg("crash_judged")
		if c.mayReport(now, v) {
			loss := quarantine.Loss{Crash: v.Crash, Confirmed: true, Counted: v.Outcome == quarantine.CrashCounted}
			reports = append(reports, loadshare.LossOf(now, loss))
		}
		if v.Quarantined {
			q := quarantine.Quarantine{Content: v.Content, Since: v.At}
			reports = append(reports, loadshare.QuarantineOf(now, q))
			c.quarantined(q, "own_runs")
			c.save(q)
		}
	}
	if len(reports) > 0 {
		c.g.gossip.sendCrashReports(c.g.gossip.targets(now), reports)
	}
}

// mayReport reports whether the peers are told of a verdict. Many runs are lost with others in an outage, so that
// those are told only at a limited rate.
func (c *crashGuard) mayReport(now time.Time, v *quarantine.Verdict) bool {
	switch v.Outcome {
	case quarantine.CrashCounted:
		return true
	case quarantine.LostWithOthers:
		return !v.Begun && c.lossReports.AllowN(now, 1)
	}
	return false
}

// quarantined logs a new quarantine and who reported it.
func (c *crashGuard) quarantined(q quarantine.Quarantine, source string) {
	telemetry.Counter(c.g.options.Metrics, "crashes.quarantined").Inc(1)
	c.g.options.Log.Warn().Hex("content", contentBytes(q.Content)).Str("source", source).Msg("request_quarantined")
}

// handleUpdate applies a peer's reports, and forwards those that are new here and may be passed on.
func (c *crashGuard) handleUpdate(now time.Time, sender netip.AddrPort, update *loadshare.CrashUpdate) {
	if update.StateWanted {
		c.g.gossip.sendCrashReports([]netip.AddrPort{sender}, c.reports(now))
		c.g.partGuard.sendState(now, sender)
	}
	var news []loadshare.CrashReport
	for i := range update.Reports {
		if !c.applyReport(now, &update.Reports[i]) {
			continue
		}
		if next, ok := update.Reports[i].PassedOn(); ok {
			news = append(news, next)
		}
	}
	if len(news) == 0 {
		return
	}
	c.g.gossip.sendCrashReports(loadshare.ForwardTargets(c.g.gossip.targets(now)), news)
}

// applyReport applies one report of a peer and returns whether it is new.
func (c *crashGuard) applyReport(now time.Time, r *loadshare.CrashReport) bool {
	c.mu.Lock()
	before := c.limiter.Check(now, r.Content).Action
	isNew := r.Apply(now, c.limiter)
	if r.Kind == loadshare.ReportCompletion && isNew {
		c.coordinator.Cleared(r.Content)
	}
	after := c.limiter.Check(now, r.Content).Action
	c.mu.Unlock()
	if before != quarantine.Refuse && after == quarantine.Refuse {
		q := quarantine.Quarantine{Content: r.Content, Since: now.Add(-r.Age)}
		c.quarantined(q, "peer")
		if r.Kind == loadshare.ReportCrash {
			// The peers' crashes reached the limit only here, so no peer may have saved this.
			c.save(q)
		}
	}
	return isNew
}

// reports returns what a new peer needs: the quarantines and then the crashes, newest first.
func (c *crashGuard) reports(now time.Time) []loadshare.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []loadshare.CrashReport
	for _, q := range c.limiter.Quarantines(now) {
		list = append(list, loadshare.QuarantineOf(now, q))
	}
	for _, loss := range c.limiter.Losses(now) {
		list = append(list, loadshare.LossOf(now, loss))
	}
	return list[:min(maxStateReports, len(list))]
}

// state returns the quarantined contents as they are logged.
func (c *crashGuard) state(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var contents []string
	for _, q := range c.limiter.Quarantines(now) {
		contents = append(contents, hex.EncodeToString(contentBytes(q.Content)))
	}
	return contents
}

// peerAppeared asks a peer that was not live for its reports, unless enough were just asked.
func (c *crashGuard) peerAppeared(now time.Time, peer netip.AddrPort) {
	c.mu.Lock()
	c.coordinator.Joined(now)
	if now.Sub(c.stateRequestsAt) > stateRequestPeriod {
		c.stateRequests, c.stateRequestsAt = 0, now
	}
	c.stateRequests++
	ask := c.stateRequests <= maxStateRequests
	c.mu.Unlock()
	if ask {
		c.g.gossip.sendCrashUpdate([]netip.AddrPort{peer}, &loadshare.CrashUpdate{StateWanted: true})
	}
}

// sendCrashReports sends reports on crashes in as many datagrams as they need.
func (s *gossiper) sendCrashReports(targets []netip.AddrPort, reports []loadshare.CrashReport) {
	for len(reports) > 0 {
		n := min(len(reports), loadshare.MaxCrashReports)
		s.sendCrashUpdate(targets, &loadshare.CrashUpdate{Reports: reports[:n]})
		reports = reports[n:]
	}
}

func (s *gossiper) sendCrashUpdate(targets []netip.AddrPort, update *loadshare.CrashUpdate) {
	if s == nil || len(targets) == 0 {
		return
	}
	datagram, err := loadshare.AppendCrashUpdate(nil, s.port, update)
	if err != nil {
		s.g.options.Log.Error().Err(err).Msg("crashes_not_reported")
		return
	}
	s.sendAll(targets, datagram)
}

// handleCrashUpdate handles a datagram with a peer's reports on crashes.
func (s *gossiper) handleCrashUpdate(now time.Time, data []byte, from netip.AddrPort) error {
	sender, update, err := loadshare.ParseCrashUpdate(data, from)
	if err != nil {
		return err
	}
	s.recordPeer(now, sender)
	s.g.crashes.handleUpdate(now, sender, update)
	return nil
}
