package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/deployment"
	"github.com/wigeonfork/wigeonfork/standin/rowstore"
	"github.com/wigeonfork/wigeonfork/standin/runner"
	"github.com/wigeonfork/wigeonfork/test/faultproxy"
)

// fault is a fault that can be injected. inject returns once the fault has ended.
type fault struct {
	name   string
	inject func(s *system, r *rand.Rand)
}

// Bounds of the duration of a fault.
const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3500 * time.Millisecond
	// restartPause is the delay before a process that has ended is started again.
	restartPause = 300 * time.Millisecond
)

func faultDuration(r *rand.Rand) time.Duration {
	return minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

var faults = []fault{
	{"kill_gateway", func(s *system, r *rand.Rand) { s.restart(s.pickNode(r), syscall.SIGKILL) }},
	{"stop_gateway", func(s *system, r *rand.Rand) { s.restart(s.pickNode(r), syscall.SIGTERM) }},
	{"kill_all_gateways", func(s *system, _ *rand.Rand) { s.restartAll(syscall.SIGKILL) }},
	{"pause_gateway", func(s *system, r *rand.Rand) {
		n := s.pickNode(r)
		s.nodeFaults.during(n, func() {
			n.signal(syscall.SIGSTOP, false)
			time.Sleep(faultDuration(r))
			n.signal(syscall.SIGCONT, false)
		})
	}},
	{"reload_gateway", func(s *system, r *rand.Rand) {
		n := s.pickNode(r)
		if err := s.writeSettings(n, drainLimit+time.Duration(r.IntN(500))*time.Millisecond); err != nil {
			s.violations.add("soak: %v", err)
		}
		n.awaitHangupHandled()
		n.signal(syscall.SIGHUP, false)
	}},
	{"kill_engine", func(s *system, r *rand.Rand) { s.replaceRunner(r, deployment.Engines) }},
	{"kill_plain", func(s *system, r *rand.Rand) { s.replaceRunner(r, deployment.Plain) }},
	{"pause_engine", func(s *system, r *rand.Rand) {
		if e := pickRunner(r, s.Runners(deployment.Engines)); e != nil {
			e.Server().Pause()
			time.Sleep(faultDuration(r))
			e.Server().Continue()
		}
	}},
	{"drain_engine", func(s *system, r *rand.Rand) { s.drainRunner(r, deployment.Engines) }},
	{"drain_plain", func(s *system, r *rand.Rand) { s.drainRunner(r, deployment.Plain) }},
	{"plain_misbehaves", func(s *system, r *rand.Rand) {
		kinds := []runner.Faults{{Refuse: true}, {Fail: true}, {DropResponse: true}, {Truncate: true}, {ExtraResponse: true}}
		if p := pickRunner(r, s.Runners(deployment.Plain)); p != nil {
			p.SetFaults(kinds[r.IntN(len(kinds))])
			time.Sleep(faultDuration(r))
			p.SetFaults(runner.Faults{})
		}
	}},
	{"engine_refuses", func(s *system, r *rand.Rand) {
		if e := pickRunner(r, s.Runners(deployment.Engines)); e != nil {
			e.SetFaults(runner.Faults{Refuse: true})
			time.Sleep(faultDuration(r))
			e.SetFaults(runner.Faults{})
		}
	}},
	{"store_fault", func(s *system, r *rand.Rand) {
		s.nodeFaults.during(nil, func() {
			s.Store.SetFault([]rowstore.Fault{rowstore.FaultUnavailable, rowstore.FaultUnresponsive, rowstore.FaultReset, rowstore.FaultDropResponse}[r.IntN(4)])
			time.Sleep(faultDuration(r) * 2)
			s.Store.SetFault(rowstore.FaultNone)
		})
	}},
	{"store_forgets", func(s *system, _ *rand.Rand) { s.Store.CompactHistory() }},
	{"store_link_silent", func(s *system, r *rand.Rand) {
		n := s.pickNode(r)
		direction := []faultproxy.Direction{faultproxy.Both, faultproxy.ToServer, faultproxy.ToClient}[r.IntN(3)]
		s.nodeFaults.during(n, func() {
			n.storeProxy.SetBlackHole(direction, true)
			time.Sleep(faultDuration(r) * 2)
			n.storeProxy.SetBlackHole(direction, false)
		})
	}},
	{"store_link_slow", func(s *system, r *rand.Rand) {
		n := s.pickNode(r)
		s.nodeFaults.during(n, func() {
			n.storeProxy.SetDelay(faultproxy.Both, time.Duration(50+r.IntN(400))*time.Millisecond)
			time.Sleep(faultDuration(r))
			n.storeProxy.SetDelay(faultproxy.Both, 0)
		})
	}},
	{"store_link_reset", func(s *system, r *rand.Rand) { s.pickNode(r).storeProxy.ResetAll() }},
	{"callers_link_reset", func(s *system, r *rand.Rand) {
		n := s.pickNode(r)
		s.linkFaults.during(n, n.callerProxy.ResetAll)
	}},
	{"callers_link_slow", func(s *system, r *rand.Rand) {
		link := s.pickNode(r).callerProxy
		link.SetDelay(faultproxy.Both, time.Duration(20+r.IntN(200))*time.Millisecond)
		time.Sleep(faultDuration(r))
		link.SetDelay(faultproxy.Both, 0)
	}},
	{"configure", func(s *system, _ *rand.Rand) { s.Configure() }},
}

// pickNode returns a random node.
func (s *system) pickNode(r *rand.Rand) *node { return s.nodes[r.IntN(len(s.nodes))] }

func pickRunner(r *rand.Rand, list []*runner.Runner) *runner.Runner {
	if len(list) == 0 {
		return nil
	}
	return list[r.IntN(len(list))]
}

// restart ends a node's process with a signal and starts a new one.
func (s *system) restart(n *node, sig syscall.Signal) {
	s.nodeFaults.during(n, func() {
		<-s.terminate(n, sig)
		time.Sleep(restartPause)
		if err := s.start(n); err != nil {
			s.violations.add("soak: %v", err)
		}
	})
}

// terminate sends the signal. After SIGTERM it kills a process that outlives its grace period, as
// the platform does, and records a violation.
func (s *system) terminate(n *node, sig syscall.Signal) <-chan struct{} {
	ended := n.signal(sig, true)
	if sig == syscall.SIGTERM {
		time.AfterFunc(gracePeriod, func() {
			select {
			case <-ended:
			default:
				s.violations.add("%s was still running at the end of its grace period", n.name)
				n.signal(syscall.SIGKILL, true)
			}
		})
	}
	return ended
}

func (s *system) restartAll(sig syscall.Signal) {
	var wait sync.WaitGroup
	for _, n := range s.nodes {
		wait.Go(func() { s.restart(n, sig) })
	}
	wait.Wait()
}

// replaceRunner kills a runner and starts another at its address.
func (s *system) replaceRunner(r *rand.Rand, service string) {
	old := pickRunner(r, s.Runners(service))
	if old == nil {
		return
	}
	address := old.Address()
	if !s.Kill(old.ID) {
		return
	}
	time.Sleep(faultDuration(r))
	old.Server().Close()
	if _, err := s.Replace(old.ID, address); err != nil {
		s.violations.add("soak: %v", err)
	}
}

// drainRunner starts another runner, drains the old one, and kills it 4 s after the drain limit.
func (s *system) drainRunner(r *rand.Rand, service string) {
	list := s.Runners(service)
	if len(list) < 2 {
		return
	}
	old := pickRunner(r, list)
	if _, err := s.Replace(old.ID, "127.0.0.1:0"); err != nil {
		s.violations.add("soak: %v", err)
		return
	}
	s.Drain(old.ID)
	time.Sleep(drainLimit + 4*time.Second)
	s.Kill(old.ID)
}

// schedule injects random faults for the given time, up to three at once. Only one fault that
// signals gateways is active at a time. It returns the names of the faults once all have ended.
func (s *system) schedule(length time.Duration) []string {
	var injected []string
	var wait sync.WaitGroup
	var processes sync.Mutex
	slots := make(chan struct{}, 3)
	for end := time.Now().Add(length); time.Now().Before(end); {
		f := faults[s.random.IntN(len(faults))]
		r := rand.New(rand.NewPCG(s.random.Uint64(), 2))
		injected = append(injected, f.name)
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			if processFaults[f.name] {
				processes.Lock()
				defer processes.Unlock()
			}
			f.inject(s, r)
		})
		time.Sleep(time.Duration(s.random.Int64N(int64(1200 * time.Millisecond))))
	}
	wait.Wait()
	return injected
}

// processFaults are the names of the faults that signal gateway processes.
var processFaults = map[string]bool{
	"kill_gateway": true, "stop_gateway": true, "kill_all_gateways": true, "pause_gateway": true, "reload_gateway": true,
}

func describe(injected []string) []string {
	counts := map[string]int{}
	for _, name := range injected {
		counts[name]++
	}
	var list []string
	for _, f := range faults {
		if n := counts[f.name]; n > 0 {
			list = append(list, fmt.Sprintf("%s:%d", f.name, n))
		}
	}
	return list
}
