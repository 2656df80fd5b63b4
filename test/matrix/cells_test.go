package matrix

import (
	"strings"

	"github.com/wigeonfork/wigeonfork/test/faultproxy"
)

// allCells returns the whole matrix.
func allCells() []*cell {
	cells := append(generationCells(), actionCells()...)
	return append(cells, leavingCells()...)
}

// generationCells returns each fault at each step of a generation.
func generationCells() []*cell {
	var cells []*cell
	for _, s := range generationSteps {
		for _, f := range generationFaults() {
			cells = append(cells, generationCell(s, allowance{}, f))
		}
	}
	return cells
}

func generationFaults() []fault {
	var all []fault
	all = append(all, fault{"none", func(*bench) error { return nil }})
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

// actionCells returns each fault at each step of an action.
func actionCells() []*cell {
	var cells []*cell
	for i, s := range actionSteps {
		for _, f := range actionFaults() {
			allow := allowance{unknown: i >= firstDispatchStep && losesOutcome(f.name)}
			cells = append(cells, actionCell(s, allow, f))
		}
	}
	return cells
}

// firstDispatchStep is the step of an action from which on its call may have
// left for the service.
const firstDispatchStep = 3

// losesOutcome tells whether a fault may part the call from its outcome.
func losesOutcome(fault string) bool {
	for _, part := range []string{"agent", "backend server"} {
		if strings.Contains(fault, part) && !strings.Contains(fault, "control") {
			return true
		}
	}
	return false
}

func actionFaults() []fault {
	var all []fault
	all = append(all, fault{"none", func(*bench) error { return nil }})
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

// leavingCells returns the faults while a backend server leaves.
func leavingCells() []*cell {
	var cells []*cell
	for _, f := range append([]fault{{"none", func(*bench) error { return nil }}}, platformFaults...) {
		cells = append(cells, leavingCell(f))
	}
	control := links[2]
	for _, f := range faultsOf(control) {
		cells = append(cells, leavingCell(f))
	}
	return cells
}
