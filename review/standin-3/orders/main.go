//go:build review

// Command orders is case 11 of the third review: an order to move a service to another version that is given right after
// the end of the move before.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/review/standin-3/small"
	"github.com/wigeonfork/wigeonfork/standin/deployment"
	"github.com/wigeonfork/wigeonfork/standin/runner"
)

const (
	// moveDuration is the time that each order gives.
	moveDuration = 10 * time.Second
	// finalTimeout bounds the wait for the end of a move.
	finalTimeout = moveDuration + 5*time.Second
	// calmPause is the pause before the second order without the disruption. The old servers' rows are gone by then.
	calmPause = 5 * time.Second
	// drainPause is the time from a roll-back until the new servers drain, and drainTime how long they then serve.
	drainPause = 2 * time.Second
	drainTime  = 2500 * time.Millisecond
	// timeLimit bounds the case.
	timeLimit = 100 * time.Second
	// applyTime is the time after which a configuration is in force, with a margin.
	applyTime = 4 * time.Second
	// steadyTime is how long the steady state is observed.
	steadyTime = 8 * time.Second
	// requestGap is the time between two requests of a caller.
	requestGap = 50 * time.Millisecond
	// addedPath is the path of the route that is added.
	addedPath = "/added/"
	// minAdded is the number of requests on added routes from which the rule holds, and minShare the least share of
	// them that must be served, of the share on the first routes.
	minAdded = 20
	minShare = 0.25
)

// counts counts the requests on one path, and those that were served.
type counts struct{ sent, served int }

type world struct {
	small *small.Deployment
	stand *deployment.Deployment

	mu     sync.Mutex
	steady bool
	byPath map[string]*counts
}

func main() { os.Exit(run(os.Args[1])) }

func run(recordPath string) int {
	stand, err := deployment.Start(deployment.Options{
		Engines: 2, Plain: 3,
		Engine:        runner.Options{Engine: true, Events: 10, EventGap: 10 * time.Millisecond, Prefill: 20 * time.Millisecond},
		PlainServer:   runner.Options{ServiceTime: 15 * time.Millisecond},
		StreamTimeout: 15 * time.Second, PlainTimeout: 3 * time.Second,
	})
	if err != nil {
		fmt.Println(err)
		return small.ExitNotRun
	}
	defer stand.Close()
	gateways, err := small.Start(2, stand.StoreAddress(), recordPath)
	if gateways != nil {
		defer gateways.Stop()
	}
	if err != nil {
		fmt.Println(err)
		return small.ExitNotRun
	}
	time.AfterFunc(timeLimit, func() {
		gateways.Stop()
		os.Exit(small.ExitNotRun)
	})
	w := &world{small: gateways, stand: stand, byPath: make(map[string]*counts)}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, path := range []string{deployment.SafePath, deployment.UnsafePath, deployment.StreamPath} {
		for _, g := range gateways.Gateways {
			callers.Go(func() { w.call(g, path, stop) })
		}
	}
	code := w.play(stop, &callers)
	close(stop)
	callers.Wait()
	for _, one := range stand.Shared.Runs("") {
		gateways.Note("run of %s at %s (%s)", one.RequestID, one.RunnerID, stand.Version(one.RunnerID))
	}
	return code
}

// play gives the orders, adds a route and judges.
func (w *world) play(stop <-chan struct{}, callers *sync.WaitGroup) int {
	time.Sleep(3 * time.Second)
	if state := w.move("v2", runner.Options{ServiceTime: 15 * time.Millisecond}); state != "completed" {
		fmt.Printf("the good version is %q at the end of its time\n", state)
		return small.ExitNotRun
	}
	w.stand.RetireVersion(deployment.Plain, deployment.FirstVersion)
	if !small.IsTroubled() {
		time.Sleep(calmPause)
	}
	state := w.move("v3", runner.Options{ServiceTime: 15 * time.Millisecond, FailEvery: 2})
	if state == "" || state == "running" {
		fmt.Printf("the bad version is %q at the end of its time\n", state)
		return small.ExitNotRun
	}
	w.drain("v3")
	w.stand.ConfigureWith(func(c *deployment.Configuration) {
		added := map[string]any{}
		for _, route := range c.Routes {
			if route["prefix"] == deployment.SafePath {
				for name, value := range route {
					added[name] = value
				}
			}
		}
		added["name"], added["prefix"] = "added", addedPath
		c.Routes = append(c.Routes, added)
	})
	w.small.Note("the route %s is added", addedPath)
	time.Sleep(applyTime)
	for _, g := range w.small.Gateways {
		callers.Go(func() { w.call(g, addedPath, stop) })
	}
	w.setSteady(true)
	time.Sleep(steadyTime)
	w.setSteady(false)
	return w.judge()
}

// drain takes the servers of a version away, as after a roll-back: they report that they drain, go on serving and end.
func (w *world) drain(version string) {
	time.Sleep(drainPause)
	for _, r := range w.stand.Runners(deployment.Plain) {
		if w.stand.Version(r.ID) == version {
			w.stand.Drain(r.ID)
		}
	}
	w.small.Note("the servers of %s drain", version)
	time.Sleep(drainTime)
	w.stand.RetireVersion(deployment.Plain, version)
}

func (w *world) setSteady(steady bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.steady = steady
}

// move starts the servers of a version, orders the move to it and returns its last state.
func (w *world) move(version string, options runner.Options) string {
	if _, err := w.stand.AddVersion(deployment.Plain, version, 3, options); err != nil {
		return ""
	}
	w.stand.OrderMove(deployment.Plain, version, moveDuration)
	w.small.Note("order: %s to %s in %v", deployment.Plain, version, moveDuration)
	state := ""
	for end := time.Now().Add(finalTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		state = w.stand.MoveState(deployment.Plain, version)
		if state != "" && state != "running" {
			break
		}
	}
	w.small.Note("the move to %s is %s", version, state)
	return state
}

// call sends requests on a path to a gateway until stop is closed.
func (w *world) call(g *small.Gateway, path string, stop <-chan struct{}) {
	request := small.Request{Method: "GET", Path: path + "x", Key: deployment.APIKey, Deadline: 3 * time.Second}
	if path == deployment.StreamPath || path == deployment.UnsafePath {
		request.Method, request.Body = "POST", "a body"
	}
	if path == deployment.StreamPath {
		request.Headers = "Wigeonfork-Model: m\r\nWigeonfork-Token-Count: 200,50\r\n"
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(requestGap):
		}
		w.mu.Lock()
		steady := w.steady
		w.mu.Unlock()
		answer := w.small.Send(g, deployment.Host, request)
		if steady {
			w.count(path, answer.Status == 200)
		}
	}
}

func (w *world) count(path string, served bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byPath[path] == nil {
		w.byPath[path] = &counts{}
	}
	w.byPath[path].sent++
	if served {
		w.byPath[path].served++
	}
}

// judge applies the rule CONFIG: in steady state, 20 or more requests on routes that were added later are served less
// than a quarter as often as those on the first routes.
func (w *world) judge() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var first, added counts
	for path, n := range w.byPath {
		line := fmt.Sprintf("steady state, %s: %d of %d served", path, n.served, n.sent)
		fmt.Println(line)
		w.small.Note("%s", line)
		sum := &first
		if path == addedPath {
			sum = &added
		}
		sum.sent += n.sent
		sum.served += n.served
	}
	if added.sent < minAdded || first.sent == 0 || first.served == 0 {
		fmt.Println("too few requests to judge")
		return small.ExitNotRun
	}
	share := float64(added.served) / float64(added.sent)
	if usual := float64(first.served) / float64(first.sent); share < minShare*usual {
		fmt.Printf("CONFIG is broken: %.3f of the requests on the added route are served, %.3f on the first routes\n", share, usual)
		return small.ExitBroken
	}
	fmt.Println("CONFIG holds")
	return small.ExitHeld
}
