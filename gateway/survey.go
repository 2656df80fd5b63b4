package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

const (
	// surveyTimeout bounds the time that a caller waits for a survey. Reading the
	// prompt again would take ten times as long.
	surveyTimeout = 120 * time.Millisecond
	// surveyInterval is the least time between two surveys of a service, since
	// callers that were interrupted together retry together.
	surveyInterval = time.Second
	// surveyWorkers bounds the engines that are queried at the same time.
	surveyWorkers = 16
)

// surveyor queries the engines of a service for the prompts in their caches. This
// serves callers that resume a stream at an entry that does not know which server
// generated it.
type surveyor struct {
	g *Gateway

	mu   sync.Mutex
	last map[wigeonfork.Model]*survey
}

// survey is one query of all engines of a service. done is closed at its end.
type survey struct {
	at   time.Time
	done chan struct{}
}

func newSurveyor(g *Gateway) *surveyor {
	return &surveyor{g: g, last: make(map[wigeonfork.Model]*survey)}
}

// await waits for a survey of the service, at most surveyTimeout.
func (s *surveyor) await(ctx context.Context, service wigeonfork.Model) {
	sv := s.startOrJoin(time.Now(), service)
	timer := time.NewTimer(surveyTimeout)
	defer timer.Stop()
	select {
	case <-sv.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// startOrJoin returns the last survey of the service if that began within
// surveyInterval, and otherwise starts one.
func (s *surveyor) startOrJoin(now time.Time, service wigeonfork.Model) *survey {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.last[service]; last != nil && now.Sub(last.at) < surveyInterval {
		return last
	}
	sv := &survey{at: now, done: make(chan struct{})}
	s.last[service] = sv
	go s.run(service, sv)
	return sv
}

// run queries the engines of a service one after another, a few at a time, until nobody waits for the result any more.
// In a large fleet all at once would keep a small entry from its callers for longer than reading their prompts takes.
func (s *surveyor) run(service wigeonfork.Model, sv *survey) {
	defer close(sv.done)
	entries := slices.DeleteFunc(s.g.fleet.usableEntries(service), func(entry directory.Entry) bool {
		_, limited := s.g.limits.rate(entry.ID)
		return limited || s.g.pauses.isPaused(entry.ID)
	})
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	queried := eachUntil(sv.at.Add(surveyTimeout), surveyWorkers, entries, s.queryEngine)
	telemetry.Counter(s.g.options.Metrics, "surveys").Inc(1)
	s.g.options.Log.Info().Str("service", string(service)).Int("servers", len(entries)).Int("queried", queried).
		Int64("took_ms", time.Since(sv.at).Milliseconds()).Msg("caches_surveyed")
}

// eachUntil calls do for each item, at most workers at a time, and begins none after a time. It returns the number of
// those that it has begun, once they have ended.
func eachUntil[T any](until time.Time, workers int, items []T, do func(T)) int {
	var next atomic.Int64
	var begun atomic.Int64
	var wait sync.WaitGroup
	for range min(workers, len(items)) {
		wait.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(items)) && time.Now().Before(until); i = next.Add(1) - 1 {
				begun.Add(1)
				do(items[i])
			}
		})
	}
	wait.Wait()
	return int(begun.Load())
}

func (s *surveyor) queryEngine(entry directory.Entry) {
	response, body, err := s.g.fetch(entry, s.g.options.Codec.CacheTarget())
	if err == nil && response.Status != http.StatusOK {
		err = errors.Newf("status %d", response.Status)
	}
	var events []backend.CacheEvent
	if err == nil {
		events, err = s.g.options.Codec.ReadCache(body)
	}
	if err != nil {
		s.g.options.Log.Info().Str("server", string(entry.ID)).Err(err).Msg("survey_failed")
		return
	}
	s.g.fleet.cacheEvents(time.Now(), entry.ID, events)
}

// usableEntries returns the servers of a service that are up or failing.
func (f *fleet) usableEntries(service wigeonfork.Model) []directory.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []directory.Entry
	for id, entry := range f.entries {
		if entry.Service == service && f.servers.Usable(id) {
			entries = append(entries, entry)
		}
	}
	return entries
}

func (f *fleet) cacheEvents(now time.Time, id serverID, events []backend.CacheEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, event := range events {
		f.router.CacheEvent(now, id, event)
	}
}

// knowsCache reports whether some server is known to cache the prompt's longest
// prefix.
func (f *fleet) knowsCache(prompt *Prompt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(prompt.Prefixes)
	return n > 0 && f.router.HasPrefix(prompt.Prefixes[n-1].Hash)
}
