package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/deployment"
	"github.com/wigeonfork/wigeonfork/standin/runner"
)

const (
	// callerTimeout is the deadline of a request, and of a stream with all its attempts.
	callerTimeout = 12 * time.Second
	// callerPause is the upper bound of the random pause before each request.
	callerPause = 120 * time.Millisecond
	// maxStreamAttempts is the maximum number of attempts to read one stream.
	maxStreamAttempts = 4
)

// attempt is the record of one request. Each attempt to read a stream is a request of its own.
type attempt struct {
	id string
	// unsafe is set if the request must run at most once.
	unsafe bool
	// service is the service that the request is for, and node the one that got it.
	service string
	node    *node
	// endedAt is when the attempt ended with outcome, which is one of those that callerGroup counts.
	endedAt time.Time
	outcome string
	// keyRevokedAt is when the key of the request was revoked, or zero if the key was still valid
	// when the attempt began. sentAt is when the attempt began.
	keyRevokedAt, sentAt time.Time
	// refusedNotRun is set if the request was refused with a status that guarantees that it did
	// not run.
	refusedNotRun bool
	// crashing is set if the request crashes its runners.
	crashing bool
}

// callerGroup is the set of all callers of one seed, with the records of their requests.
type callerGroup struct {
	system *system
	seed   uint64
	stop   chan struct{}
	wait   sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
	// outcomes counts the attempts by their outcome: "ok", "cut" (the connection broke), "gave_up" or a status
	// code. served counts those that ended with "ok", by service.
	outcomes map[string]int
	served   map[string]int
	// kinds counts the streams of the competing kinds by their path.
	kinds map[string]kindCount
	// sequence numbers the attempts for their request IDs.
	sequence int
	// revokedAt is when the store had accepted a configuration without revokedKey.
	revokedAt time.Time
}

// revokedKey is the API key that is revoked after a third of the fault injection.
const revokedKey = "key-that-goes"

func startCallers(s *system, seed uint64, callers int) *callerGroup {
	c := &callerGroup{system: s, seed: seed, stop: make(chan struct{}), outcomes: map[string]int{}, served: map[string]int{}, kinds: map[string]kindCount{}}
	for i := range callers {
		c.wait.Go(func() { c.call(rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	c.wait.Go(func() { c.sendCrashing(rand.New(rand.NewPCG(seed, 99))) })
	if s.options.NoSilences {
		return c
	}
	c.wait.Go(func() { c.sendOnce(rand.New(rand.NewPCG(seed, 98))) })
	c.wait.Go(func() { s.playSilences(rand.New(rand.NewPCG(seed, 97)), c.stop) })
	return c
}

// call sends random requests one after another over keep-alive connections, until stop is closed.
func (c *callerGroup) call(r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(r.Int64N(int64(callerPause)))):
		}
		switch r.IntN(6) {
		case 0, 1:
			c.stream(client, r, deployment.StreamPath, false)
		case 2, 3:
			c.plain(client, r, "POST", deployment.UnsafePath, deployment.APIKey)
		case 4:
			c.plain(client, r, "GET", deployment.SafePath, deployment.APIKey)
		default:
			c.plain(client, r, "GET", deployment.SafePath, revokedKey)
		}
	}
}

func (c *callerGroup) newAttempt(key string, unsafe bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	a := attempt{id: fmt.Sprintf("s%d-%d", c.seed, c.sequence), unsafe: unsafe, sentAt: time.Now()}
	if key == revokedKey {
		a.keyRevokedAt = c.revokedAt
	}
	c.attempts = append(c.attempts, a)
	return len(c.attempts) - 1
}

func (c *callerGroup) finish(i int, outcome string, refusedNotRun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &c.attempts[i]
	a.refusedNotRun, a.outcome, a.endedAt = refusedNotRun, outcome, time.Now()
	c.outcomes[outcome]++
	if outcome == "ok" {
		c.served[a.service]++
	}
}

func (c *callerGroup) id(i int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts[i].id
}

func (c *callerGroup) request(ctx context.Context, r *rand.Rand, i int, method, path, key string) *http.Request {
	body := map[string]string{"POST": "body of " + c.id(i)}[method]
	return c.requestThrough(ctx, c.system.pickNode(r), i, method, path, key, body)
}

func (c *callerGroup) requestThrough(ctx context.Context, n *node, i int, method, path, key, body string) *http.Request {
	c.mu.Lock()
	c.attempts[i].node, c.attempts[i].service = n, serviceOf(path)
	c.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.callerProxy.Addr()+path+"x", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = deployment.Host
	request.Header.Set("Wigeonfork-Request-Id", c.id(i))
	request.Header.Set("Wigeonfork-Deadline-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+key)
	return request
}

// guaranteesNotRun returns whether a status guarantees that the request has not run.
func guaranteesNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// plain sends a request without a stream and checks its response.
func (c *callerGroup) plain(client *http.Client, r *rand.Rand, method, path, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	i := c.newAttempt(key, path == deployment.UnsafePath)
	response, err := client.Do(c.request(ctx, r, i, method, path, key))
	if err != nil {
		c.finish(i, "cut", false)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		c.finish(i, "cut", false)
		return
	case response.StatusCode == http.StatusOK && string(body) != "answer to "+c.id(i):
		c.system.violations.add("%s got the body %q", c.id(i), body)
	case response.StatusCode == http.StatusOK:
		c.finish(i, "ok", false)
		return
	case response.StatusCode == http.StatusUnauthorized && key == deployment.APIKey, response.StatusCode == http.StatusNotFound:
		c.system.violations.add("%s was refused with %d, which no configuration allows", c.id(i), response.StatusCode)
	}
	c.finish(i, strconv.Itoa(response.StatusCode), guaranteesNotRun(response.StatusCode))
}

// stream requests a stream. If an attempt fails, the next one resumes after the last event
// received. A patient caller waits at least the Retry-After of a refusal. It returns whether the stream was complete in the end.
func (c *callerGroup) stream(client *http.Client, r *rand.Rand, path string, patient bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	last := uint64(0)
	for range maxStreamAttempts {
		complete, retryAfter := c.streamOnce(ctx, client, r, path, &last)
		if complete || ctx.Err() != nil {
			return complete
		}
		pause := time.Duration(r.Int64N(int64(500 * time.Millisecond)))
		if patient {
			pause = max(pause, retryAfter)
		}
		time.Sleep(pause)
	}
	return false
}

// streamOnce makes one attempt. It returns whether the stream is complete, and the Retry-After of a refusal, or 0.
func (c *callerGroup) streamOnce(ctx context.Context, client *http.Client, r *rand.Rand, path string, last *uint64) (bool, time.Duration) {
	i := c.newAttempt(deployment.APIKey, false)
	request := c.request(ctx, r, i, "POST", path, deployment.APIKey)
	if c.system.load.competing() {
		request.Header.Set("Wigeonfork-Token-Count", tokenCount)
	}
	if *last > 0 {
		request.Header.Set("Last-Event-Id", strconv.FormatUint(*last, 10))
	}
	response, err := client.Do(request)
	if err != nil {
		c.finish(i, cutOutcome(ctx), false)
		return false, 0
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.finish(i, strconv.Itoa(response.StatusCode), guaranteesNotRun(response.StatusCode))
		// A refusal without a time to wait asks for none.
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return false, time.Duration(seconds * float64(time.Second))
	}
	body, err := io.ReadAll(response.Body)
	events, rest := c.checkEvents(i, *last, string(body))
	*last += events
	switch {
	case err != nil:
		c.finish(i, cutOutcome(ctx), false)
		return false, 0
	case rest != "" || *last != streamEvents:
		c.system.violations.add("%s ended as complete after event %d with %q", c.id(i), *last, rest)
	default:
		c.finish(i, "ok", false)
	}
	return true, 0
}

// cutOutcome is the outcome of an attempt without a whole answer: the caller gave up, or its
// connection broke.
func cutOutcome(ctx context.Context) string {
	if ctx.Err() != nil {
		return "gave_up"
	}
	return "cut"
}

// streamEvents is the number of events of every stream.
const streamEvents = 40

// checkEvents checks that the events after last are consecutive and belong to the attempt. It
// returns their number, and the rest of body after the last complete event.
func (c *callerGroup) checkEvents(i int, last uint64, body string) (uint64, string) {
	id := c.id(i)
	events := uint64(0)
	for body != "" {
		want := runner.EventText(id, last+events+1)
		if !strings.HasPrefix(body, want) {
			break
		}
		body = body[len(want):]
		events++
	}
	if want := runner.EventText(id, last+events+1); body != "" && !strings.HasPrefix(want, body) {
		c.system.violations.add("%s got %.60q where event %d was expected", id, body, last+events+1)
	}
	return events, body
}

// revoke revokes revokedKey and records the time.
func (c *callerGroup) revoke() {
	c.system.SetKeys(deployment.APIKey)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revokedAt = time.Now()
}

func (c *callerGroup) servedCount() int {
	return c.servedOf(deployment.Plain) + c.servedOf(deployment.Engines)
}

// servedOf returns the number of requests of a service that were served.
func (c *callerGroup) servedOf(service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served[service]
}
