// Package runner is a stand-in for the users' model runners and plain backend servers, over HTTP.
// It serves resumable streams of events with increasing ids, continues runs from copies of their KV
// caches, and marks refused requests as not executed. No KV data is copied: a copy is only a record
// that it exists.
package runner

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/loopback"
)

// Options configure a Runner.
type Options struct {
	// Engine makes it a model runner. Otherwise it is a plain backend server.
	Engine bool
	// Events is the number of events in a stream, EventGap the time before each event.
	Events   uint64
	EventGap time.Duration
	// Prefill is the time to process a prompt. A run that continues from a copy skips it.
	Prefill time.Duration
	// ServiceTime is the duration of a plain request.
	ServiceTime time.Duration
	// FailEvery makes every FailEvery-th plain request fail with status 500; 0 means none.
	FailEvery uint64
	// OnCrash, if set, is called when a run with a body of Crashes begins. It must end or pause
	// the runner. The run makes no progress.
	OnCrash func(*Runner)
	// Crashes holds the bodies of requests that crash each runner that begins to run them, after
	// CrashDelay.
	Crashes    map[string]bool
	CrashDelay time.Duration
	// CrashingParts holds the ids of prompt parts that crash each model runner when it would write
	// the first event of its answer, unless the part is the last of the prompt.
	CrashingParts map[string]bool
	// Memory is the memory of a model runner for its running requests.
	Memory Memory
	// Slowdown is the initial slowdown, in percent; see SetSlowdown.
	Slowdown int64
}

// Faults are the faults that a Runner injects.
type Faults struct {
	// Refuse refuses every request as not executed.
	Refuse bool
	// Fail executes plain requests and answers with status 500.
	Fail bool
	// DropResponse executes plain requests and closes the connection without a response.
	DropResponse bool
	// Truncate sends only the first half of plain responses.
	Truncate bool
	// ExtraResponse sends an unsolicited response after each plain one.
	ExtraResponse bool
	// Crash kills the runner when it starts to send a stream.
	Crash bool
	// Unframed, if set, makes answers end with their connection.
	Unframed *Unframed
	// StallMoves leaves orders to copy a run's memory unanswered.
	StallMoves bool
	// RepeatAnswers sends each answer to a request without an id a second time, where the answer to the next request on
	// the connection is expected.
	RepeatAnswers bool
	// Connection is the Connection header of responses; empty for none.
	Connection string
	// Dribble, if set, makes streams stall.
	Dribble *Dribble
	// Comments makes streams have a comment, as an event of its own, before each event.
	Comments bool
	// RawAnswer, if set, is sent in place of the response to a request that has run, with ID replaced by the request's
	// id. The connection is closed behind it.
	RawAnswer string
}

// Comment is what streams have before each event if their runner sends comments.
const Comment = ": wait\n\n"

// Dribble makes a stream stall after some of its events. From then on its runner sends Text again and
// again, which is no event.
type Dribble struct {
	Events uint64
	Text   string
}

// dribbleGap is the time between two sends of a stalled stream.
const dribbleGap = 100 * time.Millisecond

// dribble sends the text of a stalled stream until the caller or the runner ends.
func (r *Runner) dribble(w http.ResponseWriter, q *http.Request, run *Run, text string) {
	for loopback.Sleep(q.Context(), dribbleGap) {
		if _, err := io.WriteString(w, text); err != nil {
			break
		}
		w.(http.Flusher).Flush()
	}
	r.shared.endRun(run, true)
	panic(http.ErrAbortHandler)
}

// Runner is one incarnation of a model runner or plain backend server.
type Runner struct {
	ID string
	// Born is the start time in Unix milliseconds.
	Born    int64
	options Options
	shared  *SharedState
	server  *loopback.Server
	memory  memory
	// slowdown is how long work takes, in percent of the usual. While it is 0, work takes as long as usual and the load
	// header does not state it.
	slowdown atomic.Int64

	mu     sync.Mutex
	faults Faults
	// limit is the Server-Limit header of responses; empty for none.
	limit string
	// leaving is the Server-Leaving header of responses; empty for none.
	leaving string
	// pausing is set while every request is refused as not executed, with retryAfter as the Retry-After header.
	pausing    bool
	retryAfter string
	// plainRequests is the number of plain requests served.
	plainRequests uint64
}

// Start starts a runner on addr, such as 127.0.0.1:0.
func Start(addr, id string, options Options, shared *SharedState) (*Runner, error) {
	r := &Runner{ID: id, Born: time.Now().UnixMilli(), options: options, shared: shared}
	r.memory.Memory = options.Memory
	r.slowdown.Store(options.Slowdown)
	server, err := loopback.Start(addr, http.HandlerFunc(r.serve))
	if err != nil {
		return nil, err
	}
	r.server = server
	return r, nil
}

// Address returns the IP and port of the runner.
func (r *Runner) Address() string { return r.server.Addr() }

// Server returns the HTTP server, with which a test can kill, pause or continue the runner.
func (r *Runner) Server() *loopback.Server { return r.server }

// SetFaults replaces the runner's faults.
func (r *Runner) SetFaults(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// SetLimit lets the runner name a limit in its responses, or none if the text is empty.
func (r *Runner) SetLimit(limit string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = limit
}

func (r *Runner) currentLimit() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limit
}

func (r *Runner) currentFaults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// failsNext counts a plain request. It reports whether FailEvery makes the request fail.
func (r *Runner) failsNext() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plainRequests++
	return r.options.FailEvery > 0 && r.plainRequests%r.options.FailEvery == 0
}

func (r *Runner) serve(w http.ResponseWriter, q *http.Request) {
	if serve := r.controlHandler(q.URL.Path); serve != nil {
		if r.currentFaults().RepeatAnswers {
			r.serveRepeating(w, q)
			return
		}
		serve(w, q)
		return
	}
	if target := q.Header.Get("Wigeonfork-Target-Instance"); target != "" && target != r.ID {
		w.Header().Set("Wigeonfork-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.shared.recordArrival(r.ID)
	retryAfter, pausing := r.currentPause()
	if pausing {
		w.Header().Set("Retry-After", retryAfter)
		r.shared.recordNotice(r.ID)
	}
	if pausing || r.currentFaults().Refuse {
		r.refuse(w, q)
		return
	}
	r.serveRequest(w, q)
}

// freeTarget, followed by the handle of a copy, is the path that frees it.
const freeTarget = "/kv-handle/"

// controlHandler returns the handler of a path whose requests have no id, or nil for one of callers' requests.
func (r *Runner) controlHandler(path string) http.HandlerFunc {
	switch {
	case path == "/health":
		return func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Wigeonfork-Instance-Id", r.ID) }
	case path == "/report":
		return r.serveReport
	case path == "/kv-events":
		return func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, `{"epoch":1,"next":0,"lost":false,"events":[]}`)
		}
	case path == "/kv-move":
		return r.serveMove
	case strings.HasPrefix(path, freeTarget):
		return func(_ http.ResponseWriter, q *http.Request) {
			r.shared.freeCopy(r.Address() + "/" + q.URL.Path[len(freeTarget):])
		}
	}
	return nil
}

// refuse refuses a request as not executed.
func (r *Runner) refuse(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Wigeonfork-Request-Id", q.Header.Get("Wigeonfork-Request-Id"))
	w.Header().Set("Wigeonfork-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// SetSlowdown sets how long work takes, in percent of the usual, and makes the load header state it. With 0, work takes as
// long as usual and the load header does not state it.
func (r *Runner) SetSlowdown(percent int64) { r.slowdown.Store(percent) }

// work sleeps for the time that work of the usual duration takes now. It returns false if the request ended first.
func (r *Runner) work(q *http.Request, usual time.Duration) bool {
	if percent := r.slowdown.Load(); percent > 0 {
		usual = usual * time.Duration(percent) / 100
	}
	return loopback.Sleep(q.Context(), usual)
}

// resumePreempted waits, if the run was preempted, until it has its memory again and has processed its prompt again. It
// returns false if the request ended first.
func (r *Runner) resumePreempted(q *http.Request, held *holding) bool {
	return !held.wasPreempted() || held.await(q.Context()) && r.work(q, r.options.Prefill)
}

// serveMove copies the KV cache of a run to another runner. The run goes on.
func (r *Runner) serveMove(w http.ResponseWriter, q *http.Request) {
	var order struct {
		ID string `json:"id"`
		To string `json:"to"`
	}
	if err := json.NewDecoder(q.Body).Decode(&order); err != nil || order.ID == "" || order.To == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.currentFaults().StallMoves {
		r.shared.recordStalledMove()
		<-q.Context().Done()
		return
	}
	handle := "moved-" + order.ID
	r.shared.storeCopy(r.Address()+"/"+handle, order.ID)
	r.shared.recordMove(order.ID, order.To)
	fmt.Fprintf(w, `{"handle":%q,"created":0}`, handle)
}

func (r *Runner) serveReport(w http.ResponseWriter, _ *http.Request) {
	if !r.options.Engine {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	running, waiting, used := r.memory.load()
	fmt.Fprintf(w, `{"phase":"unified","running":%d,"queued":%d,"kv_used":%d,"kv_total":%d,"born":%d}`,
		running, waiting, used, r.memory.Tokens, r.Born)
}

func (r *Runner) serveRequest(w http.ResponseWriter, q *http.Request) {
	// A request whose body can't be read is not a run.
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	run := &Run{
		RequestID: q.Header.Get("Wigeonfork-Request-Id"), RunnerID: r.ID, Path: q.RequestURI,
		Body: string(body), Header: q.Header.Clone(), ArrivedAt: time.Now(),
	}
	if from := q.Header.Get("Kv-From"); from != "" {
		request, stored := r.shared.takeCopy(from)
		if !stored {
			w.Header().Set("Wigeonfork-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		run.FromCopy, run.Cached = true, request
	}
	if r.options.Engine {
		r.serveStream(w, q, run)
		return
	}
	r.servePlain(w, q, run)
}

// crash ends the runner if the run is one that crashes it.
func (r *Runner) crash(q *http.Request, run *Run) {
	if r.options.OnCrash == nil || !r.options.Crashes[run.Body] {
		return
	}
	if !loopback.Sleep(q.Context(), r.options.CrashDelay) {
		panic(http.ErrAbortHandler)
	}
	r.endByCrash(q)
}

// crashByPart ends the runner if the prompt holds a part that crashes it.
func (r *Runner) crashByPart(q *http.Request, run *Run) {
	if r.options.OnCrash != nil && run.HoldsPart(r.options.CrashingParts) {
		r.endByCrash(q)
	}
}

// HoldsPart reports whether the run's prompt holds one of the parts, except as its last one.
func (run *Run) HoldsPart(parts map[string]bool) bool {
	list := strings.Split(run.Header.Get("Wigeonfork-Prompt-Prefix"), ",")
	for _, part := range list[:len(list)-1] {
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		if parts[id] {
			return true
		}
	}
	return false
}

// endByCrash ends the runner. It does not return.
func (r *Runner) endByCrash(q *http.Request) {
	go r.options.OnCrash(r)
	<-loopback.ServerContext(q.Context()).Done()
	panic(http.ErrAbortHandler)
}

// SetLeaving sets the Server-Leaving header of responses; empty for none.
func (r *Runner) SetLeaving(value string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = value
}

func (r *Runner) currentLeaving() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// Pause refuses every request as not executed, with the given Retry-After header, until Resume.
func (r *Runner) Pause(retryAfter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pausing, r.retryAfter = true, retryAfter
}

// Resume ends Pause.
func (r *Runner) Resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pausing = false
}

func (r *Runner) currentPause() (retryAfter string, pausing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryAfter, r.pausing
}

func (r *Runner) setHeaders(w http.ResponseWriter, run *Run) {
	h := w.Header()
	h.Set("Wigeonfork-Request-Id", run.RequestID)
	h.Set("Wigeonfork-Response-Signature", r.ID+"."+run.RequestID)
	if connection := r.currentFaults().Connection; connection != "" {
		h.Set("Connection", connection)
	}
	r.setStateHeaders(w)
}

// setStateHeaders sets the headers that state the runner's load and whether it leaves or wants a pause.
func (r *Runner) setStateHeaders(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Wigeonfork-Instance-Load", r.loadText())
	if leaving := r.currentLeaving(); leaving != "" {
		h.Set("Server-Leaving", leaving)
		if !r.currentFaults().DropResponse {
			r.shared.recordNotice(r.ID)
		}
	}
	if limit := r.currentLimit(); limit != "" {
		h.Set("Server-Limit", limit)
	}
}

// loadText returns the load header: running and waiting requests and slots, and the slowdown if the runner states it. A
// runner that counts neither its memory nor its slowdown always states one request.
func (r *Runner) loadText() string {
	percent := r.slowdown.Load()
	if percent == 0 && r.memory.Tokens == 0 {
		return "1,0,64"
	}
	running, waiting, _ := r.memory.load()
	text := fmt.Sprintf("%d,%d,64", running, waiting)
	if percent > 0 {
		text += fmt.Sprintf(",%d", percent)
	}
	return text
}

func (r *Runner) servePlain(w http.ResponseWriter, q *http.Request, run *Run) {
	// A request without tokens is counted and always fits in.
	if held := r.memory.enter(q); held != nil {
		defer r.memory.leave(held)
	}
	r.shared.beginRun(run)
	r.crash(q, run)
	if !r.work(q, r.options.ServiceTime) {
		r.shared.endRun(run, true)
		panic(http.ErrAbortHandler)
	}
	r.shared.endRun(run, false)
	faults := r.currentFaults()
	faults.Fail = faults.Fail || r.failsNext()
	r.setHeaders(w, run)
	text := "answer to " + run.RequestID
	switch {
	case faults.RawAnswer != "":
		writeRaw(w, run, faults.RawAnswer)
		return
	case faults.Unframed != nil:
		r.plainUnframed(w, faults, text)
		return
	case faults.DropResponse:
		panic(http.ErrAbortHandler)
	case faults.Fail:
		r.shared.failRun(run)
		w.WriteHeader(http.StatusInternalServerError)
	case faults.Truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	case faults.ExtraResponse:
		r.writeTwoResponses(w, run, text)
		return
	}
	io.WriteString(w, text)
}

// writeRaw writes text in place of a response and closes the connection.
func writeRaw(w http.ResponseWriter, run *Run, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	// An error means that the caller has closed.
	_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", run.RequestID))
}

// writeTwoResponses writes a complete response and a second one without a request.
func (r *Runner) writeTwoResponses(w http.ResponseWriter, run *Run, text string) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nWigeonfork-Request-Id: %s\r\nWigeonfork-Response-Signature: s\r\nContent-Length: %d\r\n\r\n%s",
		run.RequestID, len(text), text)
	buffered.Flush()
	fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nWigeonfork-Request-Id: other\r\nWigeonfork-Response-Signature: s\r\nContent-Length: 5\r\n\r\nextra")
	buffered.Flush()
	time.Sleep(100 * time.Millisecond)
}

// EventText returns the event with the given id of a request's stream, as sent.
func EventText(request string, id uint64) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", id, request, id)
}

// cachedRequest returns the id of the request whose KV cache the run's events are made from.
func (run *Run) cachedRequest() string {
	if run.FromCopy {
		return run.Cached
	}
	return run.RequestID
}

func (r *Runner) serveStream(w http.ResponseWriter, q *http.Request, run *Run) {
	if last := q.Header.Get("Last-Event-Id"); last != "" {
		// A malformed id starts the stream at its first event.
		run.LastEventID, _ = strconv.ParseUint(last, 10, 64)
	}
	held := r.memory.enter(q)
	if held == nil {
		r.setStateHeaders(w)
		r.refuse(w, q)
		return
	}
	defer r.memory.leave(held)
	if !held.await(q.Context()) || !run.FromCopy && !r.work(q, r.options.Prefill) {
		panic(http.ErrAbortHandler)
	}
	// A test may change the faults once it sees the run.
	faults := r.currentFaults()
	r.shared.beginRun(run)
	r.crash(q, run)
	if faults.Crash {
		go r.server.Kill()
		<-loopback.ServerContext(q.Context()).Done()
		panic(http.ErrAbortHandler)
	}
	if backup := q.Header.Get("Wigeonfork-Kv-Backup"); backup != "" {
		r.shared.storeCopy(backup+"/"+run.RequestID, run.RequestID)
	}
	if faults.RawAnswer != "" {
		r.shared.endRun(run, false)
		writeRaw(w, run, faults.RawAnswer)
		return
	}
	r.setHeaders(w, run)
	w.Header().Set("Content-Type", "text/event-stream")
	if faults.Unframed != nil {
		r.streamUnframed(w, q, run, *faults.Unframed)
		return
	}
	flusher := w.(http.Flusher)
	flusher.Flush()
	r.crashByPart(q, run)
	for id := run.LastEventID + 1; id <= r.options.Events; id++ {
		if faults.Dribble != nil && id > run.LastEventID+faults.Dribble.Events {
			r.dribble(w, q, run, faults.Dribble.Text)
		}
		if !r.resumePreempted(q, held) || !r.work(q, r.options.EventGap) {
			// Returning normally would end the response as if it were complete.
			r.shared.endRun(run, true)
			panic(http.ErrAbortHandler)
		}
		text := EventText(run.cachedRequest(), id)
		if faults.Comments {
			text = Comment + text
		}
		if _, err := io.WriteString(w, text); err != nil {
			r.shared.endRun(run, true)
			return
		}
		flusher.Flush()
	}
	r.shared.endRun(run, false)
}

// CompleteStream returns the complete stream of a request.
func (o Options) CompleteStream(request string) string {
	var text strings.Builder
	for id := uint64(1); id <= o.Events; id++ {
		text.WriteString(EventText(request, id))
	}
	return text.String()
}
