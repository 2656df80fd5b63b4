package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/deployment"
	"github.com/wigeonfork/wigeonfork/standin/runner"
)

const (
	nextVersion  = "v2"
	moveDuration = 8 * time.Second
	// exposureShare and exposureSlack are written to the settings of the gateways.
	exposureShare = 0.1
	exposureSlack = 50.0
	// A bad version gets nothing later than rollbackLimit after its badAnswers-th bad answer, nor
	// later than tellLimit after its roll-back is stored.
	rollbackLimit = 5 * time.Second
	badAnswers    = 50
	tellLimit     = time.Second
	// pollInterval is the time between two looks at the status row of a move.
	pollInterval = 10 * time.Millisecond
	// serversKnown is the time from the start of the new servers to the order, and retireDelay
	// that from a roll-back until they end.
	serversKnown = 500 * time.Millisecond
	retireDelay  = 3 * time.Second
)

// serviceOf returns the service of a request's path.
func serviceOf(path string) string {
	if strings.HasPrefix(path, deployment.SafePath) || strings.HasPrefix(path, deployment.UnsafePath) {
		return deployment.Plain
	}
	return deployment.Engines
}

// versionMove is a move of a service to nextVersion that the operator orders during a seed.
type versionMove struct {
	service string
	// quality is "good", "failing" or "slow".
	quality string
	// calm is set if the move begins after all faults. Otherwise it begins delay after the first.
	calm  bool
	delay time.Duration
	// orderedAt and endedAt are when the order and the final state were stored. state is empty if
	// there was none.
	orderedAt, endedAt time.Time
	state              string
}

func drawMove(seed uint64) *versionMove {
	r := rand.New(rand.NewPCG(seed, 3))
	m := &versionMove{service: deployment.Engines, quality: "good", calm: r.IntN(2) == 0}
	m.delay = time.Duration(r.Int64N(int64(3 * time.Second)))
	if r.IntN(2) == 0 {
		m.service = deployment.Plain
	}
	switch r.IntN(4) {
	case 0:
		m.quality = "slow"
	case 1:
		m.quality, m.service = "failing", deployment.Plain
	}
	return m
}

// String describes the move and how it ended.
func (m *versionMove) String() string {
	if m == nil || m.state == "" {
		return "no move ended"
	}
	when := "among faults"
	if m.calm {
		when = "after faults"
	}
	return fmt.Sprintf("%s move of %s %s: %s after %v", m.quality, m.service, when, m.state, m.endedAt.Sub(m.orderedAt).Round(pollInterval))
}

// servers returns the number and the options of the servers of the new version.
func (m *versionMove) servers() (int, runner.Options) {
	n, options := engines, engineOptions
	if m.service == deployment.Plain {
		n, options = plainServers, plainOptions
	}
	switch m.quality {
	case "slow":
		options.ServiceTime, options.Prefill, options.EventGap = 300*time.Millisecond, 2*time.Second, 150*time.Millisecond
	case "failing":
		options.FailEvery = 2
	}
	return n, options
}

// scheduleWithMove injects faults and plays a move among or after them. It returns the names of the
// faults once both have ended.
func (s *system) scheduleWithMove(m *versionMove) []string {
	if m.calm {
		injected := s.schedule(s.options.Length)
		time.Sleep(settleTime)
		s.playMove(m)
		return injected
	}
	var wait sync.WaitGroup
	wait.Go(func() {
		time.Sleep(m.delay)
		s.playMove(m)
	})
	injected := s.schedule(s.options.Length)
	wait.Wait()
	return injected
}

// playMove starts servers of the new version, orders the move, and ends the servers that its final
// state says are no longer needed.
func (s *system) playMove(m *versionMove) {
	n, options := m.servers()
	if _, err := s.AddVersion(m.service, nextVersion, n, s.load.apply(options)); err != nil {
		s.violations.add("soak: %v", err)
		return
	}
	time.Sleep(serversKnown)
	s.OrderMove(m.service, nextVersion, moveDuration)
	m.orderedAt = time.Now()
	for end := m.orderedAt.Add(moveDuration + recoveryTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		state := s.MoveState(m.service, nextVersion)
		if state == "completed" || state == "rolled_back" {
			m.state, m.endedAt = state, time.Now()
			break
		}
	}
	switch m.state {
	case "completed":
		s.RetireVersion(m.service, deployment.FirstVersion)
		time.Sleep(tellLimit)
	case "rolled_back":
		time.Sleep(retireDelay)
		s.RetireVersion(m.service, nextVersion)
	default:
		s.violations.add("the %s move of %s has no final state %v after its deadline", m.quality, m.service, recoveryTimeout)
	}
}

// checkMove checks a move with the attempts of all callers and the runs of each.
func (s *system) checkMove(m *versionMove, attempts []attempt, runs map[string][]runner.Run) {
	if m.state == "" {
		return
	}
	switch {
	case m.quality != "good" && m.state == "completed":
		s.violations.add("the %s version of %s was completed", m.quality, m.service)
	case m.quality == "good" && m.calm && m.state != "completed":
		s.violations.add("the good version of %s was rolled back without faults", m.service)
	case m.calm && m.endedAt.Sub(m.orderedAt) > moveDuration+settleTime:
		s.violations.add("the %s move of %s ended %v after its order", m.quality, m.service, m.endedAt.Sub(m.orderedAt))
	}
	s.checkExposure(m, attempts, runs)
	if m.calm && m.quality == "good" && m.state == "completed" {
		s.checkNotCut(m, attempts)
	}
}

// checkExposure checks the requests to the new version before its completion.
func (s *system) checkExposure(m *versionMove, attempts []attempt, runs map[string][]runner.Run) {
	all := 0
	var next []runner.Run
	through := map[string]*node{}
	for _, a := range attempts {
		through[a.id] = a.node
		for _, run := range runs[a.id] {
			if serviceOf(run.Path) != m.service || run.BeganAt.Before(m.orderedAt) || m.state == "completed" && run.BeganAt.After(m.endedAt) {
				continue
			}
			all++
			if s.Version(run.RunnerID) == nextVersion {
				next = append(next, run)
			}
		}
	}
	if limit := exposureShare*float64(all) + exposureSlack; float64(len(next)) > limit {
		s.violations.add("%d of %d requests reached the %s version of %s before its end, %.0f are allowed", len(next), all, m.quality, m.service, limit)
	}
	if m.quality == "good" && m.state == "completed" {
		return
	}
	slices.SortFunc(next, func(a, b runner.Run) int { return a.BeganAt.Compare(b.BeganAt) })
	stop := m.endedAt.Add(tellLimit)
	if bad := m.badRuns(next); len(bad) >= badAnswers && bad[badAnswers-1].BeganAt.Add(rollbackLimit).Before(stop) {
		stop = bad[badAnswers-1].BeganAt.Add(rollbackLimit)
	}
	for _, run := range next {
		// The users count from the sending, which a run that reads a long prompt follows by seconds.
		if run.ArrivedAt.After(stop) && s.nodeFaults.unaffected(through[run.RequestID], run.ArrivedAt) {
			s.violations.add("%s reached the %s version of %s %v after it had to be rolled back", run.RequestID, m.quality, m.service, run.ArrivedAt.Sub(stop))
		}
	}
}

// badRuns returns the runs of the new version that gave bad answers.
func (m *versionMove) badRuns(next []runner.Run) []runner.Run {
	return slices.DeleteFunc(slices.Clone(next), func(run runner.Run) bool {
		return m.quality == "good" || m.quality == "failing" && !run.Failed
	})
}

// checkNotCut checks that the end of the old servers at the completion cut no answer.
func (s *system) checkNotCut(m *versionMove, attempts []attempt) {
	for _, a := range attempts {
		overlaps := a.sentAt.Before(m.endedAt.Add(tellLimit)) && a.endedAt.After(m.endedAt)
		isCut := a.outcome == "cut" || strings.HasPrefix(a.outcome, "5")
		if a.service == m.service && !a.crashing && overlaps && isCut {
			s.violations.add("%s ended with %q %v after the completion of %s", a.id, a.outcome, a.endedAt.Sub(m.endedAt), m.service)
		}
	}
}
