package main

import (
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/deployment"
	"github.com/wigeonfork/wigeonfork/standin/runner"
)

const (
	// calm is the time without faults after which callers must be served again.
	calm = 15 * time.Second
	// recovered is the number of requests that show it.
	recovered = 20
)

// runSeed plays one seed.
func runSeed(o *options, binary string, seed uint64) *report {
	began := time.Now()
	w, err := startWorld(o, binary, seed)
	r := &report{seed: seed}
	if w == nil {
		r.broken = []string{err.Error()}
		return r
	}
	if err != nil {
		w.broken.add("soak: %v", err)
	} else {
		w.play(r, seed)
	}
	w.stop()
	r.broken, r.elapsed = w.broken.list, time.Since(began)
	if len(r.broken) == 0 {
		_ = os.RemoveAll(w.folder)
		return r
	}
	r.logsAt = filepath.Join(o.Logs, "soak-seed-"+strconv.FormatUint(seed, 10))
	_ = os.RemoveAll(r.logsAt)
	if err := os.CopyFS(r.logsAt, os.DirFS(w.folder)); err != nil {
		r.logsAt = w.folder
	}
	return r
}

// play lets callers call while faults are injected, and checks what was seen.
func (w *world) play(r *report, seed uint64) {
	w.SetKeys(deployment.APIKey, oldKey)
	c := startCrowd(w, seed, w.options.Callers)
	revoke := time.AfterFunc(w.options.Length/3, c.revoke)
	defer revoke.Stop()
	r.faults = describe(w.schedule(w.options.Length))
	w.checkRecovery(c)
	close(c.stop)
	c.wait.Wait()
	w.checkRuns(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	r.ended = maps.Clone(c.ended)
}

// checkRecovery checks that callers are served once all faults are over.
func (w *world) checkRecovery(c *crowd) {
	before := c.servedNow()
	for end := time.Now().Add(calm); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if c.servedNow() >= before+recovered {
			return
		}
	}
	w.broken.add("%d requests served in %v without faults", c.servedNow()-before, calm)
}

// checkRuns checks what the backend servers ran against what callers were told.
func (w *world) checkRuns(c *crowd) {
	runs := map[string][]runner.Run{}
	for _, run := range w.Shared.Runs("") {
		runs[run.RequestID] = append(runs[run.RequestID], run)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := map[string]bool{}
	for _, a := range c.attempts {
		known[a.id] = true
		w.checkAttempt(a, runs[a.id])
	}
	for id := range runs {
		if !known[id] {
			w.broken.add("%s ran, which no caller sent", id)
		}
	}
}

func (w *world) checkAttempt(a attempt, runs []runner.Run) {
	switch {
	case a.unsafe && len(runs) > 1:
		w.broken.add("%s must run at most once and ran %d times", a.id, len(runs))
	case a.unsafe && a.refused && len(runs) > 0:
		w.broken.add("%s was refused as not run, and ran at %s", a.id, runs[0].RunnerID)
	case !a.revoked.IsZero() && a.sentAt.After(a.revoked.Add(revokeLimit)) && len(runs) > 0:
		w.broken.add("%s ran, sent %v after its key was taken away", a.id, a.sentAt.Sub(a.revoked))
	}
	for _, run := range runs {
		if tenant := run.Header.Get("Wigeonfork-Tenant"); tenant != deployment.Tenant || run.Header.Get("Authorization") != "" {
			w.broken.add("%s ran for tenant %q", a.id, tenant)
		}
		if run.Header.Get("Wigeonfork-Target-Instance") != run.RunnerID {
			w.broken.add("%s ran at %s, which it was not sent to", a.id, run.RunnerID)
		}
	}
}
