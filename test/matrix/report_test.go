package matrix

import (
	"fmt"
	"os"
	"strings"
)

const reportPath = "../../docs/FAULTS.md"

// unproved are the points of the fault matrix that no cell shows yet.
var unproved = []string{
	"A bad version receives a small share, and none soon after it shows itself bad: steps lease take and renew, order, canary, ramp, finish and revert.",
	"Lease lapsed while its holder is paused; operators racing one another.",
	"Clock of one process off by a minute: a process can't be given another clock from outside.",
	"Cache events late or with gaps; engines without the capability to resume, continue or cancel.",
	"A partition between one entry and one agent while other entries reach that agent: a proxy stands before an agent for all entries.",
	"Resends hours later, pruned keys.",
	"In force within seconds and no new work after a few seconds are checked against the bounds of the page, without a figure; the figures belong to the experiments.",
	"Loss of the object store and the weight store; pairs of faults at the steps of configuration and drain.",
	"A passed action may have ended with a typed unknown outcome where its agent or service was lost after the claim; the page does not tell these from the others.",
}

// faultsReport returns the page with a line for every cell.
func faultsReport(results []result) string {
	var page strings.Builder
	passed, notRun := 0, 0
	for _, r := range results {
		if r.passed() {
			passed++
		}
		if r.notRun {
			notRun++
		}
	}
	fmt.Fprintf(&page, "# Fault matrix\n\n"+
		"Each line is one fault (or several at once) at one step, brought about between real entries\n"+
		"and agents behind fault-injecting proxies, and checked from the outside. This page is written by\n\n"+
		"    go test -timeout 60m ./test/matrix/ -args -full -report -seed %d\n\n"+
		"Cells: %d, passed: %d, failed: %d, not run: %d. \"CI\" marks the cells that run without arguments.\n\n"+
		"| step | fault | CI | result |\n| --- | --- | --- | --- |\n", *seed, len(results), passed, len(results)-passed-notRun, notRun)
	for _, r := range results {
		fmt.Fprintf(&page, "| %s | %s | %s | %s |\n", r.cell.step, r.cell.fault, mark(r.cell.ci), outcome(r))
	}
	page.WriteString("\n## Not yet proved\n\n")
	for _, point := range unproved {
		fmt.Fprintf(&page, "- %s\n", point)
	}
	return page.String()
}

func mark(ci bool) string {
	if ci {
		return "yes"
	}
	return ""
}

// maxOutcome bounds the text of a failure in the table.
const maxOutcome = 160

func outcome(r result) string {
	switch {
	case r.notRun:
		return "not run"
	case r.passed():
		return "passed"
	}
	text := strings.NewReplacer("|", "/", "\n", " ").Replace(strings.Join(r.wrong, "; "))
	if len(text) > maxOutcome {
		text = strings.ToValidUTF8(text[:maxOutcome], "")
	}
	return "FAILED: " + text
}

func saveReport(results []result) error {
	return os.WriteFile(reportPath, []byte(faultsReport(results)), 0o644)
}
