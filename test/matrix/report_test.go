package matrix

import (
	"fmt"
	"os"
	"strings"
)

const reportPath = "../../docs/FAULTS.md"

// uncovered lists what no cell of the fault matrix covers yet.
var uncovered = []string{
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

// Results in the table of the report.
const (
	passedText = "passed"
	failedText = "FAILED: "
	notRunText = "not run"
)

// faultsReport returns the report with a row for every cell. before is the previous report. Cells
// that this run did not include keep their result from it.
func faultsReport(results []result, before string) string {
	fresh := map[string]string{}
	for _, r := range results {
		if !r.notRun {
			fresh[r.cell.name()] = outcome(r)
		}
	}
	old := readResults(before)
	var lines strings.Builder
	counts := map[string]int{}
	cells := allCells()
	for _, c := range cells {
		text := notRunText
		if known, ok := old[c.name()]; ok {
			text = known
		}
		if known, ok := fresh[c.name()]; ok {
			text = known
		}
		counts[kindOf(text)]++
		fmt.Fprintf(&lines, "| %s | %s | %s | %s |\n", c.step, c.fault, mark(c.ci), text)
	}
	return fmt.Sprintf(pageHead, *seed, len(cells), counts[passedText], counts[failedText], counts[notRunText]) + lines.String() + uncoveredList()
}

const pageHead = `# Fault matrix

Each line is one fault (or several at once) at one step, brought about between real entries
and agents behind fault-injecting proxies, and checked from the outside. This page is written by

    go test -timeout 60m ./test/matrix/ -args -full -report -seed %d

With -cell TEXT only some cells are run again; the lines of the others stay.

Cells: %d, passed: %d, failed: %d, not run: %d. "CI" marks the cells that run without arguments.

| step | fault | CI | result |
| --- | --- | --- | --- |
`

// readResults returns the results in a report by cell name.
func readResults(page string) map[string]string {
	found := map[string]string{}
	for _, line := range strings.Split(page, "\n") {
		columns := strings.Split(strings.Trim(line, "|"), " | ")
		if len(columns) == reportColumns {
			found[strings.TrimSpace(columns[0])+" / "+columns[1]] = strings.TrimSpace(columns[3])
		}
	}
	return found
}

// reportColumns is the number of columns of the table.
const reportColumns = 4

// kindOf returns the result without the text of a failure.
func kindOf(text string) string {
	if strings.HasPrefix(text, failedText) {
		return failedText
	}
	return text
}

func uncoveredList() string {
	var list strings.Builder
	list.WriteString("\n## Not yet proved\n\n")
	for _, point := range uncovered {
		fmt.Fprintf(&list, "- %s\n", point)
	}
	return list.String()
}

func mark(ci bool) string {
	if ci {
		return "yes"
	}
	return ""
}

// maxOutcome bounds the text of a failure in the table, in bytes.
const maxOutcome = 160

func outcome(r result) string {
	switch {
	case r.notRun:
		return notRunText
	case r.passed():
		return passedText
	}
	text := strings.NewReplacer("|", "/", "\n", " ").Replace(strings.Join(r.violations, "; "))
	if len(text) > maxOutcome {
		text = strings.ToValidUTF8(text[:maxOutcome], "")
	}
	return failedText + text
}

func saveReport(results []result) error {
	// The report does not exist before the first run.
	before, err := os.ReadFile(reportPath)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	return os.WriteFile(reportPath, []byte(faultsReport(results, string(before))), 0o644)
}
