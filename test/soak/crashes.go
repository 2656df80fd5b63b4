package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/deployment"
	"github.com/wigeonfork/wigeonfork/standin/runner"
)

const (
	// crashingBody is the body of the request that crashes each runner that begins to run it.
	crashingBody = "crashes its runner"
	// crashRestart is the time until a crashed runner is back.
	crashRestart = 700 * time.Millisecond
	// crashLimit is the number of runners after whose crash the request must be stopped. At most
	// maxLateRetries may reach runners later than inTouchAfter, through gateways in touch.
	crashLimit     = 3
	maxLateRetries = 3
	// inTouchAfter is the time after a disturbance from which a gateway is in touch.
	inTouchAfter = 3 * time.Second
	// crashingPause is the upper bound of the pause before the crashing request is sent again.
	crashingPause = 800 * time.Millisecond
)

// disturbance is a time in which a node, or all if node is nil, can't keep bounds of time. It has
// not ended while to is zero.
type disturbance struct {
	node     *node
	from, to time.Time
}

// disturbanceLog records the disturbances of one seed.
type disturbanceLog struct {
	mu   sync.Mutex
	list []*disturbance
}

// during records a disturbance while act runs.
func (l *disturbanceLog) during(n *node, act func()) {
	d := &disturbance{node: n, from: time.Now()}
	l.mu.Lock()
	l.list = append(l.list, d)
	l.mu.Unlock()
	act()
	l.mu.Lock()
	d.to = time.Now()
	l.mu.Unlock()
}

// inTouch reports whether a node was undisturbed for inTouchAfter before a time.
func (l *disturbanceLog) inTouch(n *node, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.list {
		if d.node != nil && d.node != n || d.from.After(at) {
			continue
		}
		if d.to.IsZero() || at.Sub(d.to) < inTouchAfter {
			return false
		}
	}
	return true
}

// sendCrashing sends a crashing request of one kind again and again, through any node.
func (c *callerGroup) sendCrashing(r *rand.Rand) {
	path := []string{deployment.StreamPath, deployment.SafePath, deployment.UnsafePath}[r.IntN(3)]
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(r.Int64N(int64(crashingPause)))):
		}
		c.sendCrashingOnce(client, r, path)
	}
}

func (c *callerGroup) sendCrashingOnce(client *http.Client, r *rand.Rand, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	n := c.system.pickNode(r)
	i := c.newAttempt(deployment.APIKey, path == deployment.UnsafePath)
	c.mu.Lock()
	c.attempts[i].crashingThrough = n
	c.mu.Unlock()
	response, err := client.Do(c.requestThrough(ctx, n, i, "POST", path, deployment.APIKey, crashingBody))
	if err != nil {
		c.finish(i, "crashing_cut", false)
		return
	}
	defer response.Body.Close()
	// Only the status counts, so an incomplete body is no failure here.
	_, _ = io.Copy(io.Discard, response.Body)
	c.finish(i, "crashing_answered", guaranteesNotRun(response.StatusCode))
}

// checkCrashLimit checks that the crashing request was stopped at all gateways in touch.
func (s *system) checkCrashLimit(attempts []attempt, runs map[string][]runner.Run) {
	through := map[string]*node{}
	var all []runner.Run
	for _, a := range attempts {
		if a.crashingThrough != nil {
			through[a.id] = a.crashingThrough
			all = append(all, runs[a.id]...)
		}
	}
	if len(all) <= crashLimit {
		return
	}
	sort.Slice(all, func(i, j int) bool { return all[i].BeganAt.Before(all[j].BeganAt) })
	reached := all[crashLimit-1].BeganAt
	late := map[string]bool{}
	for _, run := range all[crashLimit:] {
		if run.BeganAt.Sub(reached) > inTouchAfter && s.disturbances.inTouch(through[run.RequestID], run.BeganAt) {
			late[run.RequestID] = true
		}
	}
	if len(late) > maxLateRetries {
		s.violations.add("a request that crashes its runners reached %d of them, in %d retries late", len(all), len(late))
	}
}
