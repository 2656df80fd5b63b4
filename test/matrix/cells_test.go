package matrix

import (
	"strings"

	"github.com/wigeonfork/wigeonfork/test/faultproxy"
)

// allCells returns all cells of the matrix.
func allCells() []*cell {
	cells := append(generationCells(), actionCells()...)
	cells = append(cells, leavingCells()...)
	cells = append(cells, configurationCells()...)
	cells = append(cells, poisonCells()...)
	cells = append(cells, pairCells()...)
	for _, c := range cells {
		c.ci = c.ci || inCI(c)
	}
	return cells
}

// generationCells returns a cell for each fault at each step of a generation.
func generationCells() []*cell {
	var cells []*cell
	for _, s := range generationSteps {
		for _, f := range generationFaults() {
			allow := allowance{noBrokenAttempts: strings.HasSuffix(s.name, " drain") && drainKeepsAttempts(f)}
			cells = append(cells, generationCell(s, allow, f))
		}
	}
	return cells
}

func generationFaults() []fault {
	var all []fault
	all = append(all, fault{"none", func(*testbed) error { return nil }})
	all = append(all, processFaults...)
	all = append(all, engineFaults...)
	all = append(all, platformFaults...)
	for _, l := range links {
		all = append(all, faultsOf(l)...)
	}
	return append(all,
		duplicateOn(links[1], "requests", faultproxy.ToServer),
		duplicateOn(links[1], "frames", faultproxy.ToClient),
		duplicateOn(links[3], "events", faultproxy.ToClient),
	)
}

// drainKeepsAttempts returns whether a drain under the fault must not break any attempt of a
// caller. This holds if the fault affects neither callers nor their entry. It must also not block
// an answer beyond the drain limit, at which the answer is handed over.
func drainKeepsAttempts(f fault) bool {
	if f.name == "engine stuck" || f.name == "pause backend server" || blocksBackend(f.name) {
		return false
	}
	return !strings.Contains(f.name, "entry") || strings.Contains(f.name, "entry-")
}

// blocksBackend returns whether a fault blocks the path to the backend server until it is undone. A
// reset, a plain cut, a delay or refused connections do not.
func blocksBackend(fault string) bool {
	if !strings.HasSuffix(fault, "on agent-backend server") {
		return false
	}
	return strings.HasPrefix(fault, "black hole") || strings.HasPrefix(fault, "half") || strings.HasPrefix(fault, "silent")
}

// actionCells returns a cell for each fault at each step of an action.
func actionCells() []*cell {
	var cells []*cell
	for i, s := range actionSteps {
		for _, f := range actionFaults() {
			allow := allowance{unknownOutcome: i >= claimStep && losesOutcome(f.name) || losesReply(f.name)}
			cells = append(cells, actionCell(s, allow, f))
		}
	}
	return cells
}

// claimStep is the index of a step in actionSteps. With a fault at this step or a later one, the
// call may reach the service while the fault is active.
const claimStep = 1

// losesOutcome returns whether a fault may lose the outcome of the call for good, because the agent
// that ran it or the reply of the service is lost.
func losesOutcome(fault string) bool {
	for _, part := range []string{"kill agent", "restart agent", "kill backend server", "restart backend server", "agent-backend server"} {
		if strings.Contains(fault, part) {
			return true
		}
	}
	return false
}

// losesReply returns whether a fault may lose the service's reply at whichever step it is injected.
// A cut forwards the call and then breaks the connection during the reply.
func losesReply(fault string) bool {
	return strings.Contains(fault, "cut after n bytes on agent-backend server")
}

func actionFaults() []fault {
	var all []fault
	all = append(all, fault{"none", func(*testbed) error { return nil }})
	all = append(all, processFaults...)
	all = append(all, platformFaults...)
	for _, l := range append(links[:len(links):len(links)], agentTable) {
		all = append(all, faultsOf(l)...)
	}
	return append(all,
		duplicateOn(links[0], "requests", faultproxy.ToServer),
		duplicateOn(links[1], "requests", faultproxy.ToServer),
	)
}

// leavingCells returns the cells with a fault while a backend server leaves.
func leavingCells() []*cell {
	var cells []*cell
	for _, f := range append([]fault{{"none", func(*testbed) error { return nil }}}, platformFaults...) {
		cells = append(cells, leavingCell(f))
	}
	control := links[2]
	for _, f := range faultsOf(control) {
		cells = append(cells, leavingCell(f))
	}
	return cells
}

// generationPairSteps and actionPairSteps are the steps at which pairs of faults are injected. At
// these steps the system holds state of the request.
var (
	generationPairSteps = map[string]bool{"dispatch": true, "mid stream": true, "resume": true}
	actionPairSteps     = map[string]bool{"claim": true, "action dispatch": true, "outcome record": true}
)

// pairFaults returns the faults that are combined in pairs.
func pairFaults() []fault {
	wanted := map[string]bool{
		"kill entry": true, "restart agent with empty memory": true, "kill backend server": true,
		"pause agent": true, "store down": true, "store answer lost after write": true,
		"black hole to client on entry-agent": true,
	}
	var some []fault
	for _, f := range append(append(processFaults[:len(processFaults):len(processFaults)], platformFaults...), faultsOf(links[1])...) {
		if wanted[f.name] {
			some = append(some, f)
		}
	}
	return some
}

// pairCells returns a cell for each pair of faults at each step of generationPairSteps and
// actionPairSteps.
func pairCells() []*cell {
	var cells []*cell
	faults := pairFaults()
	for i, f := range faults {
		for _, g := range faults[i+1:] {
			cells = append(cells, pairsAt(f, g)...)
		}
	}
	return cells
}

func pairsAt(f, g fault) []*cell {
	var cells []*cell
	for _, s := range generationSteps {
		if generationPairSteps[s.name] {
			// The entry and the agent hold the tokens. Without both, the caller must restart
			// its answer.
			allow := allowance{}
			if f.name == "kill entry" && blocksAgentTokens(g) {
				allow.restarts = 1
			}
			cells = append(cells, generationCell(s, allow, f, g))
		}
	}
	for _, s := range actionSteps {
		if actionPairSteps[s.name] {
			allow := allowance{unknownOutcome: losesOutcome(f.name) || losesOutcome(g.name)}
			cells = append(cells, actionCell(s, allow, f, g))
		}
	}
	return cells
}

// blocksAgentTokens returns whether a fault may make the agent's tokens unavailable.
func blocksAgentTokens(f fault) bool {
	return strings.Contains(f.name, "agent")
}

// ciFaults are the faults that CI injects at every step, apart from the leaving and drain steps.
var ciFaults = map[string]bool{
	"kill entry": true, "kill agent": true, "kill backend server": true, "restart agent with empty memory": true,
	"store down": true, "store answer lost after write": true, "reset entry-agent": true,
}

// ciMidFaults are the additional faults that CI injects in the middle of a stream and at the
// dispatch of an action.
var ciMidFaults = map[string]bool{
	"none": true, "kill agent and backend server": true, "restart entry with empty memory": true,
	"restart backend server with empty memory": true, "pause entry": true, "pause agent": true,
	"engine slow": true, "store slow": true, "host list down": true, "host list late": true,
	"reset caller-entry": true, "reset agent-backend server": true,
	"black hole both ways on caller-entry": true, "black hole to server on entry-agent": true,
	"black hole to client on entry-agent": true, "delay on entry-agent": true,
	"cut after n bytes on caller-entry": true, "cut after n bytes on entry-agent": true,
	"cut after n bytes on agent-backend server": true, "silent cut after n bytes on entry-agent": true,
	"duplicate requests on caller-entry": true, "duplicate requests on entry-agent": true,
	"duplicate frames on entry-agent": true, "duplicate events on agent-backend server": true,
}

func inCI(c *cell) bool {
	switch c.step {
	case "leaving":
		return c.fault == "none"
	case "agent drain", "entry drain", "action agent drain", "action entry drain":
		return c.fault == "none"
	case "mid stream", "action dispatch":
		return ciFaults[c.fault] || ciMidFaults[c.fault]
	default:
		return ciFaults[c.fault]
	}
}
