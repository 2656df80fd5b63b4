package action_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/backend"
)

// stateHash identifies a state by two independent 64-bit hashes.
type stateHash [2]uint64

func hashOf(key []byte) stateHash {
	second := xxhash.NewWithSeed(1)
	_, _ = second.Write(key)
	return stateHash{xxhash.Sum64(key), second.Sum64()}
}

// node is a reached state with the steps that lead to it.
type node struct {
	state  *modelState
	parent *node
	label  string
}

func (n *node) steps() string {
	var labels []string
	for ; n != nil && n.label != ""; n = n.parent {
		labels = append([]string{n.label}, labels...)
	}
	return strings.Join(labels, "; ")
}

// exploration is the result of exploring all states.
type exploration struct {
	states    int
	violation string
	path      string
	replies   int
	notRun    int
}

// explore visits every state that is reachable with at most faults faults, in order of the
// number of faults. It stops at the first violation.
func (m *protocolModel) explore(faults int) exploration {
	var result exploration
	seen := make(map[stateHash]struct{})
	layers := make([][]*node, faults+1)
	layers[0] = []*node{{state: m.initial()}}
	var buf []byte
	for f := 0; f <= faults; f++ {
		for len(layers[f]) > 0 {
			last := len(layers[f]) - 1
			n := layers[f][last]
			layers[f] = layers[f][:last]
			buf = n.state.stateKey(buf[:0])
			hash := hashOf(buf)
			if _, known := seen[hash]; known {
				continue
			}
			seen[hash] = struct{}{}
			result.count(n.state)
			if result.violation = n.state.violation(); result.violation != "" {
				result.path = n.steps()
				return result
			}
			for _, step := range m.transitions(n.state) {
				next := f + step.fault
				if next > faults {
					continue
				}
				layers[next] = append(layers[next], &node{state: step.to, parent: n, label: step.label})
			}
			n.state = nil
		}
	}
	return result
}

func (r *exploration) count(w *modelState) {
	r.states++
	for i := range w.entries {
		if w.entries[i].replied {
			r.replies++
		}
		if w.entries[i].refusedNotRun {
			r.notRun++
		}
	}
}

func (m *protocolModel) initial() *modelState {
	w := &modelState{entries: make([]*modelEntry, len(m.requests))}
	for i := range w.entries {
		w.entries[i] = &modelEntry{}
	}
	seen := map[string]bool{}
	for _, r := range m.requests {
		if !seen[r.target.AgentAddress] {
			w.agents = append(w.agents, &modelAgent{target: r.target, alive: true, state: "0"})
		}
		seen[r.target.AgentAddress] = true
	}
	return w
}

// newModel returns a model with one request for each of the given agents. All requests have the
// same key and body.
func newModel(bug seededBug, agents ...string) *protocolModel {
	key, err := action.NewKey(modelEpoch)
	if err != nil {
		panic(err)
	}
	limits := action.DefaultLimits()
	limits.ClaimTimeout = modelClaimTimeout
	limits.DispatchWindow = modelWindow
	limits.ResolveDelay, limits.PollInterval, limits.StoreRetryInterval = 0, 0, 0
	limits.ClaimAttempts = 2
	limits.RecordTimeout = time.Hour
	m := &protocolModel{limits: limits, bug: bug, stepCache: map[ledgerKey]ledgerResult{}}
	for _, name := range agents {
		target := action.Target{AgentAddress: name, Incarnation: action.Incarnation(name)}
		m.requests = append(m.requests, modelRequest{target: target, request: action.Request{
			Workspace: "w", Key: string(key), Target: target, Deadline: modelEpoch.Add(modelDeadline),
			Call: backend.Call{Method: "POST", Path: "/pay", Body: []byte("5")},
		}})
	}
	return m
}

func TestClaimProtocolModel(t *testing.T) {
	sameAgentFaults := 0
	if *fullModel {
		sameAgentFaults = modelFaults
	}
	cases := []struct {
		agents []string
		faults int
	}{{[]string{"A", "B"}, modelFaults}, {[]string{"A", "A"}, sameAgentFaults}}
	Convey("No interleaving of two entries and their agents violates an invariant", t, func() {
		for _, c := range cases {
			began := time.Now()
			result := newModel(bugNone, c.agents...).explore(c.faults)
			fmt.Printf("model %v: %d states with up to %d faults in %s\n", c.agents, result.states, c.faults, time.Since(began).Round(time.Millisecond))
			So(result.path, ShouldBeEmpty)
			So(result.violation, ShouldBeEmpty)
			So(result.replies, ShouldBeGreaterThan, 0)
			So(result.notRun, ShouldBeGreaterThan, 0)
		}
	})
}

// fullModel selects exploration with faults also for two entries that use the same agent.
var fullModel = flag.Bool("model.full", false, "explore all cases of the model with a fault")

// modelFaults bounds the faults on one path. Late and repeated messages do not count.
const modelFaults = 1

func TestClaimProtocolModelFindsSeededBugs(t *testing.T) {
	Convey("The model checker finds each seeded bug", t, func() {
		for bug, name := range map[seededBug]string{
			bugDispatchBeforeClaim: "dispatch before the claim is durable",
			bugNotRunWithoutBar:    "agent reports not run without barring the claim",
			bugSameIncarnation:     "restarted agent keeps its incarnation",
			bugLostResultIsNotRun:  "lost result of a dispatch treated as not run",
			bugLongExpiry:          "dispatch expires later than its row",
		} {
			result := newModel(bug, "A", "B").explore(modelFaults)
			fmt.Printf("model with %q: %d states: %s: %s\n", name, result.states, result.violation, result.path)
			So(result.violation, ShouldNotBeEmpty)
		}
	})
}
