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
	moveDuration = 8 * time.Second
	// servedAfterMoves is the number of requests that a service must serve after its last move, within recoveryTimeout.
	servedAfterMoves = 20
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

// versionMove is a move of a service to another version that the operator orders during a seed.
type versionMove struct {
	service string
	// from is the version in service before the move, and to the new one.
	from, to string
	// quality is "good", "failing" or "slow".
	quality string
	// calm is set if the move begins after all faults. Otherwise it begins delay after the first.
	calm  bool
	delay time.Duration
	// orderedAt and endedAt are when the order and the final state were stored. state is empty if
	// there was none.
	orderedAt, endedAt time.Time
	state              string
	// nextOrderedAt is when the next order for the service was given, zero if there was none.
	nextOrderedAt time.Time
}

// drawMoves returns so many moves of one service, each of which is ordered as soon as the one before has ended.
func drawMoves(seed uint64, orders int) []*versionMove {
	first := drawMove(seed)
	moves := []*versionMove{first}
	r := rand.New(rand.NewPCG(seed, 9))
	for i := 1; i < orders; i++ {
		next := &versionMove{service: first.service, to: fmt.Sprintf("v%d", i+2), quality: "good", calm: first.calm}
		switch r.IntN(4) {
		case 0:
			next.quality = "slow"
		case 1:
			if first.service == deployment.Plain {
				next.quality = "failing"
			}
		}
		moves = append(moves, next)
	}
	return moves
}

func drawMove(seed uint64) *versionMove {
	r := rand.New(rand.NewPCG(seed, 3))
	m := &versionMove{service: deployment.Engines, from: deployment.FirstVersion, to: "v2", quality: "good", calm: r.IntN(2) == 0}
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
	return fmt.Sprintf("%s move of %s to %s %s: %s after %v", m.quality, m.service, m.to, when, m.state, m.endedAt.Sub(m.orderedAt).Round(pollInterval))
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

// scheduleWithMoves injects faults and plays moves among or after them. It returns the names of the
// faults once both have ended.
func (s *system) scheduleWithMoves(moves []*versionMove) []string {
	if moves[0].calm {
		injected := s.schedule(s.options.Length)
		time.Sleep(settleTime)
		s.playMoves(moves)
		return injected
	}
	var wait sync.WaitGroup
	wait.Go(func() {
		time.Sleep(moves[0].delay)
		s.playMoves(moves)
	})
	injected := s.schedule(s.options.Length)
	wait.Wait()
	return injected
}

// playMoves plays moves one after another, until one has no final state.
func (s *system) playMoves(moves []*versionMove) {
	var retired sync.WaitGroup
	defer retired.Wait()
	inService := deployment.FirstVersion
	for i, m := range moves {
		m.from = inService
		s.playMove(m)
		if i > 0 {
			moves[i-1].nextOrderedAt = m.orderedAt
		}
		switch m.state {
		case "completed":
			s.RetireVersion(m.service, m.from)
			inService = m.to
		case "rolled_back":
			retired.Go(func() {
				time.Sleep(retireDelay)
				s.RetireVersion(m.service, m.to)
			})
		default:
			s.violations.add("the %s move of %s has no final state %v after its deadline", m.quality, m.service, recoveryTimeout)
			return
		}
	}
	time.Sleep(tellLimit)
}

// playMove starts servers of the new version, orders the move, and waits for its final state.
func (s *system) playMove(m *versionMove) {
	n, options := m.servers()
	if _, err := s.AddVersion(m.service, m.to, n, s.load.apply(options)); err != nil {
		s.violations.add("soak: %v", err)
		return
	}
	time.Sleep(serversKnown)
	s.OrderMove(m.service, m.to, moveDuration)
	m.orderedAt = time.Now()
	for end := m.orderedAt.Add(moveDuration + recoveryTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		state := s.MoveState(m.service, m.to)
		if state == "completed" || state == "rolled_back" {
			m.state, m.endedAt = state, time.Now()
			break
		}
	}
}

// checkServedAfterMoves checks that a service is served once its moves and all faults have ended.
func (s *system) checkServedAfterMoves(c *callerGroup, service string) {
	before := c.servedOf(service)
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if c.servedOf(service) >= before+servedAfterMoves {
			return
		}
	}
	s.violations.add("%d requests of %s served in %v after its last move", c.servedOf(service)-before, service, recoveryTimeout)
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
			if s.Version(run.RunnerID) == m.to {
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

// checkNotCut checks that the end of the old servers at the completion cut no answer. Requests after the next order may
// be those that its version fails.
func (s *system) checkNotCut(m *versionMove, attempts []attempt) {
	end := m.endedAt.Add(tellLimit)
	if !m.nextOrderedAt.IsZero() && m.nextOrderedAt.Before(end) {
		end = m.nextOrderedAt
	}
	for _, a := range attempts {
		overlaps := a.sentAt.Before(end) && a.endedAt.After(m.endedAt)
		isCut := a.outcome == "cut" || strings.HasPrefix(a.outcome, "5")
		if a.service == m.service && !a.crashing && overlaps && isCut {
			s.violations.add("%s ended with %q %v after the completion of %s", a.id, a.outcome, a.endedAt.Sub(m.endedAt), m.service)
		}
	}
}
