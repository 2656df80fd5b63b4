package gateway

import (
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

const (
	// partReportRate is the number of crash reports on parts that an entry sends a second, and
	// partReportBurst that at once. Further crashes count at this entry alone.
	partReportRate  = 8
	partReportBurst = 32
	// massReportRate and massReportBurst are those of crashes that count once a moment, of which a
	// failure domain's loss brings very many.
	massReportRate  = 1
	massReportBurst = 2
	// maxPartStateReports bounds the reports sent to a peer that asks for them.
	maxPartStateReports = 8 * loadshare.MaxPartReports
)

// suspectParts returns the parts of a prompt that may crash a server: all but the last, which belongs
// to the request itself.
func suspectParts(prefixes []routing.Prefix) []quarantine.PartID {
	if len(prefixes) < 2 {
		return nil
	}
	prefixes = prefixes[:min(len(prefixes)-1, quarantine.MaxParts)]
	parts := make([]quarantine.PartID, len(prefixes))
	for i := range prefixes {
		parts[i] = quarantine.PartID(prefixes[i].Hash)
	}
	return parts
}

// partNames returns parts as they are logged.
func partNames(parts []quarantine.PartID) string {
	names := make([]string, len(parts))
	for i, id := range parts {
		names[i] = strconv.FormatUint(uint64(id), 16)
	}
	return strings.Join(names, ",")
}

// partGuard decides which requests are refused because a part of their prompt crashes backend servers.
// It shares its evidence with the peers and keeps quarantines in the store. Its lock is held over no
// I/O.
type partGuard struct {
	g *Gateway
	// unsaved holds the quarantines, and ends of some, that the store doesn't have yet.
	unsaved *saveQueue[StoredPartQuarantine]

	mu      sync.Mutex
	limiter *quarantine.PartLimiter
	// reports and massReports limit the crash reports.
	reports, massReports *rate.Limiter
}

func newPartGuard(g *Gateway) *partGuard {
	return &partGuard{
		g: g, limiter: quarantine.NewPartLimiter(), unsaved: newSaveQueue[StoredPartQuarantine](),
		reports:     rate.NewLimiter(partReportRate, partReportBurst),
		massReports: rate.NewLimiter(massReportRate, massReportBurst),
	}
}

// serverLost records that a server does not respond.
func (p *partGuard) serverLost(now time.Time, entry directory.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.ServerLost(now, serverStart(entry), entry.Domain)
}

// serverReturned records that a server that was lost is the same start as before.
func (p *partGuard) serverReturned(now time.Time, entry directory.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.ServerReturned(now, serverStart(entry))
}

// awaits reports whether the outcome of a run at a server is awaited.
func (p *partGuard) awaits(entry directory.Entry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Awaits(serverStart(entry))
}

// runLost records that a run ended before its first event. A server that is no longer registered, so
// that nothing probes it, counts as lost. silent is set if only the server's silence ended the run.
func (p *partGuard) runLost(now time.Time, c *call, place *placement, silent bool) {
	if len(c.parts) == 0 {
		return
	}
	registered := p.g.fleet.registered(place.ID)
	run := quarantine.PartRun{Content: c.content, Server: serverStart(place.Entry), Parts: c.parts, Began: place.sentAt, At: now}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !registered {
		p.limiter.ServerLost(now, run.Server, place.Domain)
	}
	p.limiter.RunLost(run, place.Domain, silent)
}

// begun records the first event of a run, and tells the peers if that clears a part.
func (p *partGuard) begun(now time.Time, parts []quarantine.PartID) {
	if len(parts) > 0 {
		p.applyBegin(now, quarantine.PartBegin{Parts: parts, At: now}, "own_run")
	}
}

// begin applies a begin. It returns the parts and the quarantines that it clears.
func (p *partGuard) begin(begin quarantine.PartBegin) ([]quarantine.PartID, []quarantine.PartQuarantine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Begin(begin)
}

// applyBegin applies a begin and tells the peers of the parts that it clears. It returns whether there
// are any.
func (p *partGuard) applyBegin(now time.Time, begin quarantine.PartBegin, source string) bool {
	cleared, ended := p.begin(begin)
	if len(cleared) == 0 {
		return false
	}
	telemetry.Counter(p.g.options.Metrics, "parts.cleared").Inc(int64(len(cleared)))
	p.g.options.Log.Info().Str("parts", partNames(cleared)).Str("source", source).Int("quarantines", len(ended)).Msg("parts_cleared")
	for i := range ended {
		if p.saves(now) {
			p.withdraw(ended[i])
		}
	}
	if source == "own_run" {
		p.send(p.g.gossip.targets(now), loadshare.PartBeginOf(now, quarantine.PartBegin{Parts: cleared, At: begin.At}))
	}
	return true
}

// allows reports whether a request that has run may run again.
func (p *partGuard) allows(now time.Time, c *call) bool {
	q, _ := p.refusedBy(now, c.parts, false)
	return q == nil
}

// check returns a refusal if a part of the request crashes backend servers, or nil. Of the entries only
// the first in rank lets requests through to test a verdict.
func (p *partGuard) check(now time.Time, c *call, run problem.RunState, step problem.Step) *problem.Error {
	notRun := c.possibleRuns == 0
	if len(c.parts) == 0 || c.partTrial && notRun {
		return nil
	}
	q, trial := p.decide(now, c.parts, notRun)
	if q == nil {
		return nil
	}
	if trial {
		c.partTrial = true
		p.g.options.Log.Warn().Str("request", string(c.caller.ID)).Str("parts", partNames(q.Parts)).Int("trial", q.Trials).Msg("part_trial")
		p.send(p.g.gossip.targets(now), []loadshare.PartReport{loadshare.PartQuarantineOf(now, q)})
		return nil
	}
	telemetry.Counter(p.g.options.Metrics, "parts.refused").Inc(1)
	return problem.New(problem.CodeBackendFailed, run, step, "the prompt's part %s crashes backend servers", partNames(q.Parts))
}

// decide returns a copy of the quarantine that refuses the parts, or nil, and whether the request is a
// trial of it. Only a request that has not run may be one.
func (p *partGuard) decide(now time.Time, parts []quarantine.PartID, notRun bool) (*quarantine.PartQuarantine, bool) {
	q, _ := p.refusedBy(now, parts, false)
	if q == nil || !notRun || p.g.gossip.watchAssignment(now).Rank != 0 {
		return q, false
	}
	return p.refusedBy(now, parts, true)
}

// refusedBy returns a copy of the quarantine that refuses the parts, or nil, and whether a request with
// them is a trial of it, which only mayTry allows.
func (p *partGuard) refusedBy(now time.Time, parts []quarantine.PartID, mayTry bool) (*quarantine.PartQuarantine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, trial := p.limiter.Check(now, parts, mayTry)
	if q == nil {
		return nil, false
	}
	kept := *q
	return &kept, trial
}

// settle decides which lost runs count against their parts, and which parts are quarantined. It reports
// both to the peers.
func (p *partGuard) settle(now time.Time) {
	p.mu.Lock()
	suspicions := p.limiter.Settle(now)
	verdicts := p.limiter.Verdicts(now)
	p.mu.Unlock()
	var reports []loadshare.PartReport
	for i := range suspicions {
		s := &suspicions[i]
		telemetry.Counter(p.g.options.Metrics, "parts.suspected_"+s.Outcome.String()).Inc(1)
		p.g.options.Log.Info().Str("parts", partNames(s.Parts)).Hex("content", contentBytes(s.Content)).Str("server", string(s.Server.ID)).
			Str("outcome", s.Outcome.String()).Int("crashes", s.Crashes).Msg("parts_suspected")
		if p.mayReport(now, s) {
			reports = append(reports, loadshare.PartCrashOf(now, &s.PartCrash)...)
		}
	}
	for i := range verdicts {
		v := &verdicts[i]
		p.quarantined(now, &v.PartQuarantine, "evidence")
		p.g.options.Log.Info().Str("parts", partNames(v.Parts)).Int("crashes", v.Crashes).Int("servers", v.Servers).
			Int("requests", v.Requests).Msg("part_evidence")
		reports = append(reports, loadshare.PartQuarantineOf(now, &v.PartQuarantine))
	}
	if len(reports) > 0 {
		p.send(p.g.gossip.targets(now), reports)
	}
}

// mayReport reports whether a crash may be reported now, and counts those that may not.
func (p *partGuard) mayReport(now time.Time, s *quarantine.PartSuspicion) bool {
	budget := p.reports
	if s.WithOthers {
		budget = p.massReports
	}
	if budget.AllowN(now, 1) {
		return true
	}
	telemetry.Counter(p.g.options.Metrics, "parts.unreported").Inc(1)
	return false
}

// quarantined logs a new quarantine and where it comes from, and saves it unless that is the store.
func (p *partGuard) quarantined(now time.Time, q *quarantine.PartQuarantine, source string) {
	telemetry.Counter(p.g.options.Metrics, "parts.quarantined").Inc(1)
	p.g.options.Log.Warn().Str("parts", partNames(q.Parts)).Str("source", source).Msg("part_quarantined")
	if source != "store" && p.saves(now) {
		p.save(*q)
	}
}

// state returns the quarantined parts as they are logged.
func (p *partGuard) state(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for _, q := range p.limiter.Quarantines(now) {
		list = append(list, partNames(q.Parts))
	}
	return list
}

// sendState sends a new peer what it needs: the quarantines and then the crashes, newest first.
func (p *partGuard) sendState(now time.Time, peer netip.AddrPort) {
	p.mu.Lock()
	quarantines, crashes := p.limiter.Quarantines(now), p.limiter.Crashes(now)
	p.mu.Unlock()
	var reports []loadshare.PartReport
	for i := range quarantines {
		reports = append(reports, loadshare.PartQuarantineOf(now, &quarantines[i]))
	}
	for i := range crashes {
		reports = append(reports, loadshare.PartCrashOf(now, &crashes[i])...)
	}
	p.send([]netip.AddrPort{peer}, reports[:min(len(reports), maxPartStateReports)])
}

// send sends reports in as many datagrams as they need.
func (p *partGuard) send(targets []netip.AddrPort, reports []loadshare.PartReport) {
	s := p.g.gossip
	if s == nil || len(targets) == 0 {
		return
	}
	for len(reports) > 0 {
		n := min(len(reports), loadshare.MaxPartReports)
		datagram, err := loadshare.AppendPartUpdate(nil, s.port, &loadshare.PartUpdate{Reports: reports[:n]})
		if err != nil {
			p.g.options.Log.Error().Err(err).Msg("parts_not_reported")
			return
		}
		s.sendAll(targets, datagram)
		reports = reports[n:]
	}
}

// handleUpdate applies a peer's reports, and forwards those that are new here and may be passed on.
func (p *partGuard) handleUpdate(now time.Time, update *loadshare.PartUpdate) {
	var news, refutations []loadshare.PartReport
	for i := range update.Reports {
		r := &update.Reports[i]
		isNew, sound := p.apply(now, r)
		refutations = append(refutations, loadshare.PartBeginOf(now, sound)...)
		if !isNew {
			continue
		}
		if next, ok := r.PassedOn(); ok {
			news = append(news, next)
		}
	}
	if len(news) > 0 {
		p.send(loadshare.ForwardTargets(p.g.gossip.targets(now)), news)
	}
	if len(refutations) > 0 {
		p.send(p.g.gossip.targets(now), refutations)
	}
}

// apply applies one report of a peer. It returns whether it is new, and the parts that are known here
// to be sound.
func (p *partGuard) apply(now time.Time, r *loadshare.PartReport) (isNew bool, sound quarantine.PartBegin) {
	switch r.Kind {
	case loadshare.ReportPartCrash:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.limiter.Merge(now, r.Crash(now))
	case loadshare.ReportPartBegin:
		return p.applyBegin(now, r.Begin(now), "peer"), sound
	case loadshare.ReportPartQuarantine:
		return p.applyQuarantine(now, r.Quarantine(now), "peer"), sound
	}
	return false, sound
}

// applyQuarantine applies a quarantine that a peer or the store reported, and returns whether it is new.
func (p *partGuard) applyQuarantine(now time.Time, q quarantine.PartQuarantine, source string) bool {
	p.mu.Lock()
	isNew := p.limiter.MergeQuarantine(now, q)
	p.mu.Unlock()
	if isNew {
		p.quarantined(now, &q, source)
	}
	return isNew
}

// handlePartUpdate handles a datagram with a peer's reports on parts.
func (s *gossiper) handlePartUpdate(now time.Time, data []byte, from netip.AddrPort) error {
	sender, update, err := loadshare.ParsePartUpdate(data, from)
	if err != nil {
		return err
	}
	s.recordPeer(now, sender)
	s.g.partGuard.handleUpdate(now, update)
	return nil
}
