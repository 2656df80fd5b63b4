package gateway

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/memquota"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/waitqueue"
)

const (
	// defaultMaxBody bounds a body where the configuration sets no limit, in bytes.
	defaultMaxBody = 4 << 20
	// configurationRetry is the retry delay that callers get from an entry without a
	// recent configuration. Another entry may have one at once.
	configurationRetry = 300 * time.Millisecond
	// outageRetry is the retry delay while the store is unavailable to all entries,
	// for a caller with a deadline of at least longDeadline.
	outageRetry  = 2 * time.Second
	longDeadline = 8 * time.Second
	// noServerRetry is the retry delay if no backend server takes requests.
	noServerRetry = 400 * time.Millisecond
	// maxWarmWait bounds the time that a request waits for the first reads. The wait
	// is also at most the caller's deadline divided by warmDeadlineDivisor.
	maxWarmWait         = 800 * time.Millisecond
	warmDeadlineDivisor = 8
)

// call is one request of a caller.
type call struct {
	*Gateway
	w         http.ResponseWriter
	r         *http.Request
	caller    CallerRequest
	table     *routetable.Table
	route     *routetable.Route
	service   wigeonfork.Model
	workspace wigeonfork.Workspace
	// tenant holds the caller's key; nil if the route needs none.
	tenant  *routetable.Tenant
	body    []byte
	hasBody bool
	// held counts the bytes that are held for the request, until it ends.
	held *memquota.Group
	// unread is set while the caller may be sending a body that is not read.
	unread bool
	began  time.Time
	// deadline is when the caller stops waiting or the route times out, whichever is
	// first; zero if neither is set.
	deadline time.Time
	work     routing.Work
	// content identifies the request's content, whatever its id.
	content quarantine.ContentHash
	// headSent is set once the head of the answer has been sent to the caller.
	headSent bool
	// parts are the parts of the prompt that may crash servers. partTrial is set if the request tests
	// a quarantine of them with its first run.
	parts     []quarantine.PartID
	partTrial bool
	// trial is set while the request runs as a trial, since equal ones were lost with their servers.
	trial *trial
	// possibleRuns counts the sends that may have run.
	possibleRuns int
	// outcome, server and status go into the request's log line.
	outcome string
	server  serverID
	status  int
	// firstEvent is the time from the call to the first event of a stream, and
	// longestGap the longest time between two events, as sent to the caller.
	firstEvent time.Duration
	longestGap time.Duration
}

// serve answers one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	c := &call{Gateway: g, w: w, r: r, began: time.Now(), unread: httpserver.SendsBody(r), held: g.memory.NewGroup()}
	defer c.held.End()
	defer c.logEnd()
	defer c.endTrial()
	defer c.handlePanic()
	if refusal := c.accept(); refusal != nil {
		c.refuse(refusal)
		return
	}
	g.retryBudgets.recordRequest(c.began, c.service)
	if c.route.Kind == routetable.KindStream {
		c.stream()
		return
	}
	c.plain()
}

// accept reads the request and decides whether it is accepted. It returns the refusal,
// or nil.
func (c *call) accept() *problem.Error {
	if c.refusing.Load() {
		return c.draining()
	}
	var err error
	if c.caller, err = c.options.Codec.ParseCaller(c.r.Header); err != nil {
		return problem.New(problem.CodeInvalidRequest, problem.RunNot, problem.StepAccept, "%v", err)
	}
	c.awaitWarm()
	if c.table = c.config.table(); c.table == nil {
		return problem.New(problem.CodeStoreUnavailable, problem.RunNot, problem.StepAccept, "no configuration yet").After(c.storeRetry())
	}
	if limit := c.table.Limits().MaxHeaderBytes; limit > 0 && headerBytes(c.r) > limit {
		return problem.New(problem.CodeHeaderTooLarge, problem.RunNot, problem.StepAccept, "the request's head has more than %d bytes", limit)
	}
	if refusal := c.resolve(); refusal != nil {
		return refusal
	}
	if refusal := c.readBody(); refusal != nil {
		return refusal
	}
	c.estimate()
	if refusal := c.awaitEqualRuns(); refusal != nil {
		return refusal
	}
	if refusal := c.partGuard.check(time.Now(), c, problem.RunNot, problem.StepAdmit); refusal != nil {
		return refusal
	}
	if c.stopsBefore(0) {
		return c.draining()
	}
	return nil
}

// headerBytes returns the size of the request line and headers as received.
func headerBytes(r *http.Request) int64 {
	const line, field = len("  HTTP/1.1\r\n"), len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + line + len("Host") + len(r.Host) + field
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + field
		}
	}
	return int64(n)
}

// awaitWarm holds a request until the gateway's first reads are complete, for a limited
// time. A caller whose request was interrupted by a restart may have no retry left, and a
// request that crashes servers is refused only once the quarantines are known.
func (c *call) awaitWarm() {
	if c.warm.isOpen() && c.restored.isOpen() {
		return
	}
	wait := maxWarmWait
	if c.caller.Deadline > 0 {
		wait = min(wait, c.caller.Deadline/warmDeadlineDivisor)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for _, opened := range []chan struct{}{c.warm.opened, c.restored.opened} {
		select {
		case <-opened:
		case <-timer.C:
			return
		case <-c.r.Context().Done():
			return
		}
	}
}

// resolve finds the route, the service and the workspace, and checks the API key.
func (c *call) resolve() *problem.Error {
	if refusal := c.checkReplaced(); refusal != nil {
		return refusal
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = c.table.Match(c.r.Host, path)
	if c.route == nil {
		return c.unlessStale(problem.New(problem.CodeNotFound, problem.RunNot, problem.StepRoute, "no route for this host and path"))
	}
	c.service = c.route.Pick(xxhash.Sum64String(string(c.caller.ID)))
	if c.route.Public || !c.table.RequiresKey() {
		return nil
	}
	tenant := c.table.Tenant(c.caller.Key)
	if tenant == nil {
		return c.unlessStale(problem.New(problem.CodeUnauthorized, problem.RunNot, problem.StepAccept, "the API key is not known"))
	}
	c.tenant, c.workspace = tenant, tenant.Workspace
	return c.checkFreshness()
}

// checkFreshness refuses a request if its key may have been revoked longer ago than
// the revoke limit.
func (c *call) checkFreshness() *problem.Error {
	bounds := c.bounds.Load()
	if !bounds.FailClosed {
		return nil
	}
	age, known := c.config.age()
	if known && age < bounds.RevokeLimit-revokeMargin {
		return nil
	}
	return problem.New(problem.CodeStoreUnavailable, problem.RunNot, problem.StepAccept,
		"the configuration is %v old; the key may have been revoked", age.Round(time.Millisecond)).After(c.storeRetry())
}

// unlessStale returns refusal, or a refusal with a retry delay if the entry may have
// missed a newer configuration that allows the request.
func (c *call) unlessStale(refusal *problem.Error) *problem.Error {
	age, known := c.config.age()
	_, behind := c.config.behind()
	if known && age < c.bounds.Load().ApplyLimit && !behind {
		return refusal
	}
	return problem.New(problem.CodeStoreUnavailable, problem.RunNot, refusal.Step, "%s, but the configuration is old", refusal.Message).
		After(c.storeRetry())
}

// checkReplaced refuses a request if the configuration in force has been known to be replaced
// for about the revoke limit. Routes without a key are bound by it too.
func (c *call) checkReplaced() *problem.Error {
	behind, isBehind := c.config.behind()
	if !isBehind || behind < c.bounds.Load().RevokeLimit-revokeMargin {
		return nil
	}
	return problem.New(problem.CodeStoreUnavailable, problem.RunNot, problem.StepAccept,
		"a newer configuration has been known for %v and could not be read", behind.Round(time.Millisecond)).After(c.storeRetry())
}

// storeRetry returns the retry delay while the store is unavailable. An entry without
// live peers is probably cut off by itself, as one is whose peers have read what it could
// not, so another may serve soon. Otherwise the store is probably unavailable to all
// entries. A caller with a long deadline then retries later, since an outage lasts seconds
// and a caller has few retries.
func (c *call) storeRetry() time.Duration {
	_, behind := c.config.behind()
	if behind || c.caller.Deadline < longDeadline || !c.gossip.hasPeers(time.Now()) {
		return c.jitter(configurationRetry)
	}
	return c.jitter(outageRetry)
}

func (c *call) readBody() *problem.Error {
	limit := c.table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	c.hasBody = c.r.ContentLength != 0
	if !c.hasBody {
		return nil
	}
	if c.r.ContentLength > limit {
		return problem.New(problem.CodeTooLarge, problem.RunNot, problem.StepAccept, "body has more than %d bytes", limit)
	}
	body, err := c.gatherBody(limit)
	c.body = body
	c.unread = httpserver.LeavesUnread(c.r, err)
	switch {
	case errors.Is(err, memquota.ErrTooLarge):
		return problem.New(problem.CodeTooLarge, problem.RunNot, problem.StepAccept, "body has more than %d bytes", limit)
	case errors.Is(err, memquota.ErrExceeded):
		return c.noRoomForBody(err)
	case err != nil:
		return problem.New(problem.CodeInvalidRequest, problem.RunNot, problem.StepAccept, "body could not be read").Because(err)
	}
	return nil
}

// gatherBody reads a body of at most limit bytes, counted for its workspace.
func (c *call) gatherBody(limit int64) ([]byte, error) {
	return httpserver.GatherBody(c.w, c.r, limit, c.held.Begin(memquota.CallerBody, c.bodyOwner()))
}

// estimate sets the request's deadline, expected work and content hash.
func (c *call) estimate() {
	c.deadline = earliest(c.began, c.caller.Deadline, c.route.Timeout)
	prompt := &c.caller.Prompt
	c.work = routing.Work{Class: wigeonfork.ClassLookup, PromptTokens: prompt.Tokens, Prefixes: prompt.Prefixes}
	c.work.MaxTokens = prompt.MaxOutput
	if prompt.LengthHint > 0 {
		c.work.MaxTokens = min(prompt.MaxOutput, prompt.LengthHint)
	}
	c.work.Rank = c.table.Rank(c.service, c.route, c.tenant)
	if c.route.Kind == routetable.KindStream {
		c.work.Class = wigeonfork.ClassNarrative
		received := uint32(c.caller.LastEvent) * uint32(c.eventTokens())
		c.work.MaxTokens -= min(c.work.MaxTokens, received)
	}
	c.parts = suspectParts(prompt.Prefixes)
	c.content = contentOf(c.r.Host, c.r.RequestURI, string(c.workspace), c.body)
}

// eventTokens returns the number of tokens per event in the service's streams.
func (c *call) eventTokens() int {
	if service := c.table.Service(c.service); service != nil && service.Engine != nil {
		return max(1, service.Engine.EventTokens)
	}
	return 1
}

// earliest returns began plus the shortest of the limits that are set, or the zero time
// if none is.
func earliest(began time.Time, limits ...time.Duration) time.Time {
	var end time.Time
	for _, limit := range limits {
		if limit > 0 && (end.IsZero() || began.Add(limit).Before(end)) {
			end = began.Add(limit)
		}
	}
	return end
}

// isLate reports whether the request's deadline has passed.
func (c *call) isLate(now time.Time) bool { return !c.deadline.IsZero() && !now.Before(c.deadline) }

// remaining returns the time that the caller still waits; 0 if it set no deadline.
func (c *call) remaining(now time.Time) time.Duration {
	if c.caller.Deadline <= 0 {
		return 0
	}
	return max(time.Millisecond, c.began.Add(c.caller.Deadline).Sub(now))
}

// jitter returns a random time between d/2 and 3d/2, so that callers don't retry at
// the same time.
func (g *Gateway) jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// refuse answers with a typed error.
func (c *call) refuse(refusal *problem.Error) {
	c.status = refusal.Status()
	c.outcome = string(refusal.Code)
	c.options.Log.Info().Str("request", string(c.caller.ID)).Str("code", string(refusal.Code)).Str("run", string(refusal.Run)).
		Str("step", string(refusal.Step)).Hex("content", contentBytes(c.content)).Int("status", c.status).Int64("retry_after_ms", refusal.RetryAfter.Milliseconds()).
		Str("reason", refusal.Error()).Msg("request_refused")
	if c.unread && !c.headsCrowd() {
		httpserver.DiscardBody(c.w, c.r)
	}
	c.beginHead()
	problem.Write(c.w, refusal.For(c.caller.ID))
}

// logSent logs that the request goes to a server. sends counts its sends with this one. A request
// whose gateway dies leaves this line.
func (c *call) logSent(place *placement, sends int, hasCopy bool) {
	c.trials.markSent(c.trial)
	c.options.Log.Info().Str("request", string(c.caller.ID)).Str("server", string(place.ID)).Int("sends", sends).Uint8("rank", uint8(c.work.Rank)).
		Bool("copied", hasCopy).Uint64("version", c.table.Version()).Int64("configuration_age_ms", c.config.ageMs()).Msg("request_sent")
}

// beginHead is called before the head of the answer is sent. A leaving gateway asks the caller to
// close the connection, which ends with the process.
func (c *call) beginHead() {
	if _, leaving := c.leaving(); leaving {
		c.w.Header().Set("Connection", "close")
	}
	c.headSent = true
}

// logEnd writes the request's log line and metrics.
func (c *call) logEnd() {
	took := time.Since(c.began)
	kind, name := "none", ""
	if c.route != nil {
		kind, name = c.route.Kind.String(), c.route.Name
	}
	telemetry.Counter(c.options.Metrics, "requests."+kind+"_"+c.outcome).Inc(1)
	telemetry.Histogram(c.options.Metrics, "request_ms."+kind+"_"+c.outcome).Update(took.Milliseconds())
	line := c.options.Log.Info().Str("request", string(c.caller.ID)).Str("route", name).Str("kind", kind).Str("workspace", string(c.workspace))
	line = line.Str("outcome", c.outcome).Int("status", c.status).Str("server", string(c.server)).Int("sends", c.possibleRuns).Uint8("rank", uint8(c.work.Rank))
	line = line.Int64("ms", took.Milliseconds()).Uint64("from_event", c.caller.LastEvent)
	line.Int64("first_ms", c.firstEvent.Milliseconds()).Int64("gap_ms", c.longestGap.Milliseconds()).Msg("request_ended")
}

// noServer returns the refusal of a request that has not run and finds no server.
func (c *call) noServer(err error) *problem.Error {
	if retry, limited := c.limits.retryAfter(err); limited {
		return problem.New(problem.CodeOverloaded, problem.RunNot, problem.StepRoute, "%v", err).After(retry)
	}
	var tooLong *waitqueue.TooLongError
	if errors.As(err, &tooLong) {
		retry := max(minWaitRetry, tooLong.RetryIn)
		return problem.New(problem.CodeNoBackend, problem.RunNot, problem.StepAdmit, "%v", err).After(retry + rand.N(retry/2))
	}
	refusal := *problem.From(err, problem.StepRoute)
	refusal.Run = problem.RunNot
	if refusal.Code != problem.CodeNoBackend {
		refusal.Code = problem.CodeNoBackend
	}
	return refusal.After(c.jitter(noServerRetry))
}
