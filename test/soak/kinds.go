package main

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/deployment"
	"github.com/wigeonfork/wigeonfork/standin/runner"
)

const (
	// engineMemory is the memory, in tokens, of a model runner that counts it. Two streams of tokenCount fit.
	engineMemory = 300
	// tokenCount is the header's value for a stream: the numbers of tokens of its prompt and of its answer.
	tokenCount = "80,40"
	// A kind with at least minStreams streams is checked: the share of its streams that are complete must be at least
	// 1/shareFactor of that of all kinds together.
	minStreams  = 10
	shareFactor = 3
	// A slow server takes minSlowdown to maxSlowdown percent of the usual time. It stays slow for minSlowTime to
	// maxSlowTime. The next server becomes slow up to slowPause later. usualSlowdown is the percentage of the others.
	minSlowdown, maxSlowdown = 150, 500
	usualSlowdown            = 100
	minSlowTime, maxSlowTime = time.Second, 3 * time.Second
	slowPause                = time.Second
)

// kind is a kind of streams that competes with others for the model runners.
type kind struct {
	path    string
	callers int
}

// kinds are the competing kinds, the most urgent first. The least urgent one alone fills the model runners.
var kinds = []kind{{deployment.UrgentPath, 3}, {deployment.StreamPath, 3}, {deployment.LatePath, 14}}

// load describes how a seed makes placement harder: by servers with limited memory, or of uneven speed.
type load struct {
	// memory is the memory of the model runners. If it is counted, kinds compete for it.
	memory runner.Memory
	// uneven is set if servers become slow at times and state their slowdown.
	uneven bool
}

// drawLoad returns the load of a seed.
func drawLoad(seed uint64) load {
	r := rand.New(rand.NewPCG(seed, 7))
	memories := []runner.Memory{{}, {Tokens: engineMemory, RefuseFull: true}, {Tokens: engineMemory}}
	return load{memory: memories[r.IntN(len(memories))], uneven: r.IntN(2) == 0}
}

func (l load) competing() bool { return l.memory.Tokens > 0 }

// apply returns the options of a server under the load.
func (l load) apply(options runner.Options) runner.Options {
	options.Memory = l.memory
	if l.uneven {
		options.Slowdown = usualSlowdown
	}
	return options
}

// String describes the load.
func (l load) String() string {
	text := "even servers"
	if l.uneven {
		text = "uneven servers"
	}
	switch {
	case !l.competing():
		return text
	case l.memory.RefuseFull:
		return text + ", kinds compete for runners that refuse"
	default:
		return text + ", kinds compete for runners that preempt"
	}
}

// kindCount counts the streams of a kind, and those that were complete in the end.
type kindCount struct{ asked, served int }

// pressKinds sends streams of the competing kinds until end.
func (c *callerGroup) pressKinds(end time.Time) {
	index := uint64(0)
	for _, k := range kinds {
		for range k.callers {
			index++
			r := rand.New(rand.NewPCG(c.seed, 1000+index))
			c.wait.Go(func() { c.pressKind(k, r, end) })
		}
	}
}

func (c *callerGroup) pressKind(k kind, r *rand.Rand, end time.Time) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	for time.Now().Before(end) {
		time.Sleep(randomUpTo(r, callerPause))
		complete := c.stream(client, r, k.path, true)
		c.mu.Lock()
		count := c.kinds[k.path]
		count.asked++
		if complete {
			count.served++
		}
		c.kinds[k.path] = count
		c.mu.Unlock()
	}
}

// playSlowServers makes one server after another slow for a while, until end. It returns how often it did so.
func (s *system) playSlowServers(r *rand.Rand, end time.Time) (slowed int) {
	for s.load.uneven && time.Now().Add(maxSlowTime).Before(end) {
		time.Sleep(randomUpTo(r, slowPause))
		service := []string{deployment.Plain, deployment.Engines}[r.IntN(2)]
		if slow := pickRunner(r, s.Runners(service)); slow != nil {
			slow.SetSlowdown(minSlowdown + r.Int64N(maxSlowdown-minSlowdown))
			time.Sleep(minSlowTime + randomUpTo(r, maxSlowTime-minSlowTime))
			slow.SetSlowdown(usualSlowdown)
			slowed++
		}
	}
	return slowed
}

// checkKinds checks the share of complete streams of every kind; see shareFactor.
func (s *system) checkKinds(counts map[string]kindCount) {
	var all kindCount
	for _, k := range kinds {
		all.asked += counts[k.path].asked
		all.served += counts[k.path].served
	}
	for _, k := range kinds {
		n := counts[k.path]
		if n.asked >= minStreams && shareFactor*n.served*all.asked < all.served*n.asked {
			s.violations.add("%d of %d streams of %s were complete, but %d of %d of all kinds", n.served, n.asked, k.path, all.served, all.asked)
		}
	}
}

// checkPriorities checks that each run of a kind reached its runner with a priority that is less urgent, thus a greater
// number, than that of any run of a more urgent kind.
func (s *system) checkPriorities(runs []runner.Run) {
	least, most := map[string]int{}, map[string]int{}
	for _, run := range runs {
		// Callers append "x" to the path of the route.
		path := strings.TrimSuffix(run.Path, "x")
		priority, err := strconv.Atoi(run.Header.Get("Wigeonfork-Request-Priority"))
		if err != nil {
			priority = runner.DefaultPriority
		}
		if value, known := most[path]; !known || priority < value {
			most[path] = priority
		}
		if value, known := least[path]; !known || priority > value {
			least[path] = priority
		}
	}
	for i := 1; i < len(kinds); i++ {
		urgent, late := kinds[i-1].path, kinds[i].path
		lowest, known := least[urgent]
		highest, knownLate := most[late]
		if known && knownLate && highest <= lowest {
			s.violations.add("a run of %s had priority %d, and one of the less urgent %s had %d", urgent, lowest, late, highest)
		}
	}
}
