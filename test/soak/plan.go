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

// fault is one kind of trouble. It returns once the trouble is over.
type fault struct {
	name string
	play func(w *world, r *rand.Rand)
}

// The times that a trouble lasts.
const (
	shortest = 300 * time.Millisecond
	longest  = 3500 * time.Millisecond
	// restartPause is the time until a process that ended is started again.
	restartPause = 300 * time.Millisecond
)

func span(r *rand.Rand) time.Duration {
	return shortest + time.Duration(r.Int64N(int64(longest-shortest)))
}

var faults = []fault{
	{"kill_gateway", func(w *world, r *rand.Rand) { w.end(w.pick(r), syscall.SIGKILL) }},
	{"stop_gateway", func(w *world, r *rand.Rand) { w.end(w.pick(r), syscall.SIGTERM) }},
	{"kill_all_gateways", func(w *world, _ *rand.Rand) { w.endAll(syscall.SIGKILL) }},
	{"pause_gateway", func(w *world, r *rand.Rand) {
		n := w.pick(r)
		n.signal(syscall.SIGSTOP, false)
		time.Sleep(span(r))
		n.signal(syscall.SIGCONT, false)
	}},
	{"reload_gateway", func(w *world, r *rand.Rand) {
		n := w.pick(r)
		if err := w.writeSettings(n, drainLimit+time.Duration(r.IntN(500))*time.Millisecond); err != nil {
			w.broken.add("soak: %v", err)
		}
		n.awaitHangupTaken()
		n.signal(syscall.SIGHUP, false)
	}},
	{"kill_engine", func(w *world, r *rand.Rand) { w.replace(r, deployment.Engines) }},
	{"kill_plain", func(w *world, r *rand.Rand) { w.replace(r, deployment.Plain) }},
	{"pause_engine", func(w *world, r *rand.Rand) {
		if e := pickRunner(r, w.Runners(deployment.Engines)); e != nil {
			e.Server().Pause()
			time.Sleep(span(r))
			e.Server().Continue()
		}
	}},
	{"drain_engine", func(w *world, r *rand.Rand) { w.leave(r, deployment.Engines) }},
	{"drain_plain", func(w *world, r *rand.Rand) { w.leave(r, deployment.Plain) }},
	{"plain_misbehaves", func(w *world, r *rand.Rand) {
		kinds := []runner.Faults{{Refuse: true}, {Fail: true}, {DropResponse: true}, {Truncate: true}, {ExtraResponse: true}}
		if p := pickRunner(r, w.Runners(deployment.Plain)); p != nil {
			p.SetFaults(kinds[r.IntN(len(kinds))])
			time.Sleep(span(r))
			p.SetFaults(runner.Faults{})
		}
	}},
	{"engine_refuses", func(w *world, r *rand.Rand) {
		if e := pickRunner(r, w.Runners(deployment.Engines)); e != nil {
			e.SetFaults(runner.Faults{Refuse: true})
			time.Sleep(span(r))
			e.SetFaults(runner.Faults{})
		}
	}},
	{"store_fault", func(w *world, r *rand.Rand) {
		w.Store.SetFault([]rowstore.Fault{rowstore.FaultUnavailable, rowstore.FaultUnresponsive, rowstore.FaultReset, rowstore.FaultDropResponse}[r.IntN(4)])
		time.Sleep(span(r) * 2)
		w.Store.SetFault(rowstore.FaultNone)
	}},
	{"store_forgets", func(w *world, _ *rand.Rand) { w.Store.CompactHistory() }},
	{"store_link_silent", func(w *world, r *rand.Rand) {
		link := w.pick(r).store
		direction := []faultproxy.Direction{faultproxy.Both, faultproxy.ToServer, faultproxy.ToClient}[r.IntN(3)]
		link.SetBlackHole(direction, true)
		time.Sleep(span(r) * 2)
		link.SetBlackHole(direction, false)
	}},
	{"store_link_slow", func(w *world, r *rand.Rand) {
		link := w.pick(r).store
		link.SetDelay(faultproxy.Both, time.Duration(50+r.IntN(400))*time.Millisecond)
		time.Sleep(span(r))
		link.SetDelay(faultproxy.Both, 0)
	}},
	{"store_link_reset", func(w *world, r *rand.Rand) { w.pick(r).store.ResetAll() }},
	{"callers_link_reset", func(w *world, r *rand.Rand) { w.pick(r).callers.ResetAll() }},
	{"callers_link_slow", func(w *world, r *rand.Rand) {
		link := w.pick(r).callers
		link.SetDelay(faultproxy.Both, time.Duration(20+r.IntN(200))*time.Millisecond)
		time.Sleep(span(r))
		link.SetDelay(faultproxy.Both, 0)
	}},
	{"configure", func(w *world, _ *rand.Rand) { w.Configure() }},
}

// pick draws a node.
func (w *world) pick(r *rand.Rand) *node { return w.nodes[r.IntN(len(w.nodes))] }

func pickRunner(r *rand.Rand, list []*runner.Runner) *runner.Runner {
	if len(list) == 0 {
		return nil
	}
	return list[r.IntN(len(list))]
}

// end ends a node's process and starts it again.
func (w *world) end(n *node, s syscall.Signal) {
	<-w.ending(n, s)
	time.Sleep(restartPause)
	if err := w.start(n); err != nil {
		w.broken.add("soak: %v", err)
	}
}

// ending sends the signal and bounds the end of a planned stop, as the platform
// does.
func (w *world) ending(n *node, s syscall.Signal) <-chan struct{} {
	ended := n.signal(s, true)
	if s == syscall.SIGTERM {
		time.AfterFunc(gracePeriod, func() {
			select {
			case <-ended:
			default:
				w.broken.add("%s still ran at the end of its grace period", n.name)
				n.signal(syscall.SIGKILL, true)
			}
		})
	}
	return ended
}

func (w *world) endAll(s syscall.Signal) {
	var wait sync.WaitGroup
	for _, n := range w.nodes {
		wait.Go(func() { w.end(n, s) })
	}
	wait.Wait()
}

// replace kills a runner and starts another at its address.
func (w *world) replace(r *rand.Rand, service string) {
	old := pickRunner(r, w.Runners(service))
	if old == nil {
		return
	}
	address := old.Address()
	w.Kill(old.ID)
	time.Sleep(span(r))
	old.Server().Close()
	if _, err := w.AddRunner(service, address); err != nil {
		w.broken.add("soak: %v", err)
	}
}

// leave drains a runner, ends it after the drain limit and more, and starts
// another one.
func (w *world) leave(r *rand.Rand, service string) {
	list := w.Runners(service)
	if len(list) < 2 {
		return
	}
	old := pickRunner(r, list)
	if _, err := w.AddRunner(service, "127.0.0.1:0"); err != nil {
		w.broken.add("soak: %v", err)
		return
	}
	w.Drain(old.ID)
	time.Sleep(drainLimit + 4*time.Second)
	w.Kill(old.ID)
}

// schedule plays faults drawn from the seed until the time is over, up to three
// of them at once. A node has one trouble of its process at a time.
func (w *world) schedule(length time.Duration) []string {
	var played []string
	var wait sync.WaitGroup
	var processes sync.Mutex
	slots := make(chan struct{}, 3)
	for end := time.Now().Add(length); time.Now().Before(end); {
		f := faults[w.random.IntN(len(faults))]
		r := rand.New(rand.NewPCG(w.random.Uint64(), 2))
		played = append(played, f.name)
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			if ofProcess[f.name] {
				processes.Lock()
				defer processes.Unlock()
			}
			f.play(w, r)
		})
		time.Sleep(time.Duration(w.random.Int64N(int64(1200 * time.Millisecond))))
	}
	wait.Wait()
	return played
}

// ofProcess are the faults that signal gateways.
var ofProcess = map[string]bool{
	"kill_gateway": true, "stop_gateway": true, "kill_all_gateways": true, "pause_gateway": true, "reload_gateway": true,
}

func describe(played []string) []string {
	counts := map[string]int{}
	for _, name := range played {
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
