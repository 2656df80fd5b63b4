package matrix

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// cell is one fault, or several at once, at one step. run returns the violations that were found,
// and an error if the fault could not be injected at the step.
type cell struct {
	step  string
	fault string
	// ci is set if CI runs the cell.
	ci    bool
	allow allowance
	run   func(c *cell) ([]string, error)
}

func (c *cell) name() string { return c.step + " / " + c.fault }

// result is the result of a cell.
type result struct {
	cell       *cell
	violations []string
	elapsed    time.Duration
	// notRun is set if the time limit of the run had passed before the cell began.
	notRun bool
}

func (r result) passed() bool { return len(r.violations) == 0 && !r.notRun }

// runOrder returns the indexes of cells: first those of CI, then the others in reverse order. The
// steps with few cells are at the end of the matrix, so a run that reaches its time limit still
// includes them.
func runOrder(cells []*cell) []int {
	var first, rest []int
	for i, c := range cells {
		if c.ci {
			first = append(first, i)
		} else {
			rest = append(rest, i)
		}
	}
	slices.Reverse(rest)
	return append(first, rest...)
}

// runCells runs cells concurrently and returns their results in the order of cells. It skips cells
// that would begin after the time limit of the run.
func runCells(t *testing.T, cells []*cell) []result {
	results := make([]result, len(cells))
	indexes := make(chan int)
	began := time.Now()
	var workers sync.WaitGroup
	for range *parallel {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := range indexes {
				if *limit > 0 && time.Since(began) > *limit {
					results[i] = result{cell: cells[i], notRun: true}
					continue
				}
				results[i] = cells[i].result()
				t.Logf("%-6t %5.1fs %s %v", results[i].passed(), results[i].elapsed.Seconds(), cells[i].name(), results[i].violations)
			}
		}()
	}
	for _, i := range runOrder(cells) {
		indexes <- i
	}
	close(indexes)
	workers.Wait()
	return results
}

func (c *cell) result() result {
	began := time.Now()
	wrong, err := c.run(c)
	if err != nil {
		wrong = append(wrong, fmt.Sprintf("cell not brought about: %v", err))
	}
	return result{cell: c, violations: wrong, elapsed: time.Since(began)}
}

// selectCells returns the cells that -full and -cell select.
func selectCells(cells []*cell) []*cell {
	var some []*cell
	for _, c := range cells {
		if (*full || c.ci) && strings.Contains("="+c.name(), *cellFilter) {
			some = append(some, c)
		}
	}
	return some
}

// generationCell returns the cell that injects the faults at a step of a generation.
func generationCell(s step, allow allowance, faults ...fault) *cell {
	return &cell{step: s.name, fault: names(faults), allow: allow, run: func(c *cell) ([]string, error) {
		b, err := newTestbed(c.name(), engines, 0)
		if err != nil {
			return nil, err
		}
		defer b.Close()
		return b.generate(s, faults, c.allow)
	}}
}

func names(faults []fault) string {
	var all []string
	for _, f := range faults {
		all = append(all, f.name)
	}
	return strings.Join(all, " + ")
}

// generate injects the faults at the step of a generation. It returns the violations once all
// answers have ended and all processes have stopped.
func (b *testbed) generate(s step, faults []fault, allow allowance) ([]string, error) {
	release, err := s.reach(b)
	if err == nil {
		b.sendCompanions()
		err = b.applyAll(faults)
		release()
	}
	b.workers.Wait()
	if healErr := b.heal(); err == nil {
		err = healErr
	}
	b.stopAll()
	wrong := append(b.plannedStopViolations(), b.violations(allow)...)
	return wrong, err
}

func (b *testbed) applyAll(faults []fault) error {
	for _, f := range faults {
		if err := f.apply(b); err != nil {
			return err
		}
	}
	return nil
}
