package main

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/deployment"
	"github.com/wigeonfork/wigeonfork/standin/runner"
)

const (
	// A runner says in its answers that it leaves, or refuses with a time for which it wants nothing, for minNoticeTime
	// to maxNoticeTime. The next one does up to noticePause later.
	minNoticeTime, maxNoticeTime = 2 * time.Second, 4 * time.Second
	noticePause                  = time.Second
	// pauseLatency is the time after a refusal from which its pause holds.
	pauseLatency = 500 * time.Millisecond
	// arrivalsAllowed is the number of requests that may reach the runner from each gateway process: the one that the
	// process learns from, one that crosses it, and two that the users allow within a pause.
	arrivalsAllowed = 4
	// minSilentPause and maxSilentPause bound the time between two silences of the connections to the store.
	minSilentPause, maxSilentPause = 2 * time.Second, 6 * time.Second
)

// serverNotice says what a runner told in its answers between two times: that it leaves, or wants a pause.
type serverNotice struct {
	runner   string
	leaving  bool
	from, to time.Time
	// processes is the number of gateway processes that ran within the time.
	processes int
}

// playNotices lets one runner after another leave or ask for pauses, until end.
func (s *system) playNotices(r *rand.Rand, end time.Time) []serverNotice {
	var notices []serverNotice
	for {
		time.Sleep(randomUpTo(r, noticePause))
		if time.Now().Add(maxNoticeTime).After(end) {
			return notices
		}
		service := []string{deployment.Plain, deployment.Engines}[r.IntN(2)]
		leaving := r.IntN(2) == 0
		if list := s.Runners(service); len(list) > 2 {
			notices = append(notices, s.giveNotice(r, pickRunner(r, list), leaving))
		}
	}
}

// giveNotice lets a runner leave, after which it ends and another starts, or ask for a pause.
func (s *system) giveNotice(r *rand.Rand, wanting *runner.Runner, leaving bool) serverNotice {
	length := minNoticeTime + randomUpTo(r, maxNoticeTime-minNoticeTime)
	w := serverNotice{runner: wanting.ID, leaving: leaving, from: time.Now()}
	before := s.processes()
	if leaving {
		wanting.SetLeaving("1")
		time.Sleep(length)
		w.to = time.Now()
		if s.Kill(wanting.ID) {
			// An address that is in use leaves the deployment one runner short.
			_, _ = s.Replace(wanting.ID, "127.0.0.1:0")
		}
	} else {
		wanting.Pause(strconv.FormatFloat(length.Seconds(), 'f', 2, 64))
		time.Sleep(length)
		w.to = time.Now()
		wanting.Resume()
	}
	w.processes = len(s.nodes) + s.processes() - before
	return w
}

// processes returns the number of gateway processes started so far.
func (s *system) processes() (n int) {
	for _, node := range s.nodes {
		node.mu.Lock()
		n += node.starts
		node.mu.Unlock()
	}
	return n
}

// playSilentStore makes the open connections to the store silent again and again, until end.
func (s *system) playSilentStore(r *rand.Rand, end time.Time) (silences int) {
	for {
		time.Sleep(minSilentPause + randomUpTo(r, maxSilentPause-minSilentPause))
		if time.Now().After(end) {
			return silences
		}
		s.nodeFaults.during(nil, s.SilenceStoreConnections)
		silences++
	}
}

// checkNotices checks that no runner got many requests after it had wanted to be left alone.
func (s *system) checkNotices(notices []serverNotice) {
	for _, w := range notices {
		latency, count := pauseLatency, 0
		if w.leaving {
			latency = drainLimit
		}
		told := w.to
		for _, at := range s.Shared.Notices(w.runner) {
			if at.After(w.from) && at.Before(told) {
				told = at
			}
		}
		for _, at := range s.Shared.Arrivals(w.runner) {
			if at.After(told.Add(latency)) && at.Before(w.to) {
				count++
			}
		}
		if allowed := arrivalsAllowed * w.processes; count > allowed {
			s.violations.add("%s (leaving %v) got %d requests from %v after its first answer on, %d allowed", w.runner, w.leaving, count, latency, allowed)
		}
	}
}
