package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/deployment"
	"github.com/wigeonfork/wigeonfork/standin/runner"
)

const (
	// A sound runner is silent for minSilence to maxSilence, and then goes on. The next silence
	// begins up to silencePause later.
	minSilence   = 800 * time.Millisecond
	maxSilence   = 1400 * time.Millisecond
	silencePause = 2 * time.Second
	// oncePause is the upper bound of the pause between two streams that may not run again.
	oncePause = 300 * time.Millisecond
)

// playSilences lets one model runner after another be silent for a while, until stop is closed.
func (s *system) playSilences(r *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(randomUpTo(r, silencePause)):
		}
		if e := pickRunner(r, s.Runners(deployment.Engines)); e != nil {
			e.Server().Pause()
			time.Sleep(minSilence + randomUpTo(r, maxSilence-minSilence))
			e.Server().Continue()
		}
	}
}

// sendOnce sends streams that may not run again, one after another, until stop is closed.
func (c *callerGroup) sendOnce(r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(randomUpTo(r, oncePause)):
		}
		c.sendOnceWithin(callerTimeout, client, r)
	}
}

func (c *callerGroup) sendOnceWithin(timeout time.Duration, client *http.Client, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	last := uint64(0)
	c.streamOnce(ctx, client, r, deployment.OncePath, &last)
}

// checkCuts checks that no answer was cut whose runner is alive to the end, through a gateway and a
// link without a fault.
func (s *system) checkCuts(attempts []attempt, runs map[string][]runner.Run) {
	alive := make(map[string]bool)
	for _, r := range s.Runners(deployment.Engines) {
		alive[r.ID] = true
	}
	for _, a := range attempts {
		if a.outcome != "cut" || a.service != deployment.Engines || a.crashing {
			continue
		}
		if !s.nodeFaults.unaffected(a.node, a.endedAt) || !s.linkFaults.unaffected(a.node, a.endedAt) {
			continue
		}
		lost := slices.ContainsFunc(runs[a.id], func(run runner.Run) bool { return !alive[run.RunnerID] })
		if !lost && len(runs[a.id]) > 0 {
			s.violations.add("%s was cut after %v, and its runner %s is alive", a.id, a.endedAt.Sub(a.sentAt), runs[a.id][0].RunnerID)
		}
	}
}
