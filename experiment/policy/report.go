package policy

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"
)

// Options configures Run.
type Options struct {
	// Seed seeds the events. The same seed gives the same tables.
	Seed uint64
	// Quick shortens the runs. Its figures are preliminary.
	Quick bool
	// CSV, if set, receives one line for each figure.
	CSV io.Writer
}

// Result holds the number of targets and a description of each missed one.
type Result struct {
	Targets int
	Missed  []string
}

// cell is one figure of a table with its target.
type cell struct {
	column string
	value  float64
	format func(float64) string
	target *target
}

// target is a bound on a figure.
type target struct {
	bound     float64
	isMinimum bool // bound is a minimum, else a maximum
}

func (t *target) met(value float64) bool {
	if t.isMinimum {
		return value >= t.bound
	}
	return value <= t.bound
}

func atMost(bound float64) *target  { return &target{bound: bound} }
func atLeast(bound float64) *target { return &target{bound: bound, isMinimum: true} }

// report prints tables and counts the targets.
type report struct {
	out    io.Writer
	csv    *csv.Writer
	result Result
	table  string
	tabs   *tabwriter.Writer
	header bool
	err    error
}

func newReport(out io.Writer, figures io.Writer) *report {
	r := &report{out: out}
	if figures != nil {
		r.csv = csv.NewWriter(figures)
		r.recordError(r.csv.Write([]string{"table", "case", "figure", "value", "target", "met"}))
	}
	return r
}

func (r *report) recordError(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *report) begin(table, text string) {
	r.table, r.header = table, false
	_, err := fmt.Fprintf(r.out, "\n%s: %s\n", table, text)
	r.recordError(err)
	r.tabs = tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
}

func (r *report) end() { r.recordError(r.tabs.Flush()) }

func (r *report) row(name string, cells ...cell) {
	if !r.header {
		r.header = true
		r.line("", cells, func(c *cell) string { return c.column })
	}
	r.line(name, cells, func(c *cell) string { return r.formatFigure(name, c) })
}

func (r *report) line(name string, cells []cell, text func(*cell) string) {
	_, err := fmt.Fprint(r.tabs, name)
	r.recordError(err)
	for i := range cells {
		_, err = fmt.Fprint(r.tabs, "\t", text(&cells[i]))
		r.recordError(err)
	}
	_, err = fmt.Fprintln(r.tabs)
	r.recordError(err)
}

// formatFigure returns a figure as text with its target. It also writes the figure
// as CSV and counts the target.
func (r *report) formatFigure(name string, c *cell) string {
	text := c.format(c.value)
	if c.target == nil {
		r.writeFigure(name, c, "", "")
		return text
	}
	sign := "<="
	if c.target.isMinimum {
		sign = ">="
	}
	bound := sign + c.format(c.target.bound)
	met := c.target.met(c.value)
	r.writeFigure(name, c, bound, strconv.FormatBool(met))
	r.result.Targets++
	if met {
		return text + " (" + bound + ")"
	}
	r.result.Missed = append(r.result.Missed, fmt.Sprintf("%s, %s, %s: %s, target %s", r.table, name, c.column, text, bound))
	return text + " (" + bound + " MISSED)"
}

func (r *report) writeFigure(name string, c *cell, bound, met string) {
	if r.csv == nil {
		return
	}
	value := strconv.FormatFloat(c.value, 'g', 6, 64)
	r.recordError(r.csv.Write([]string{r.table, name, c.column, value, bound, met}))
}

func (r *report) close() (Result, error) {
	if r.csv != nil {
		r.csv.Flush()
		r.recordError(r.csv.Error())
	}
	_, err := fmt.Fprintf(r.out, "\n%d targets, %d missed\n", r.result.Targets, len(r.result.Missed))
	r.recordError(err)
	for _, missed := range r.result.Missed {
		_, err = fmt.Fprintln(r.out, "missed:", missed)
		r.recordError(err)
	}
	return r.result, r.err
}

func asTime(v float64) string {
	return time.Duration(v * float64(time.Second)).Round(100 * time.Microsecond).String()
}
func asPercent(v float64) string { return fmt.Sprintf("%.2f%%", 100*v) }
func asNumber(v float64) string  { return strconv.FormatFloat(v, 'f', -1, 64) }
func asRate(v float64) string    { return fmt.Sprintf("%.0f/s", v) }

func timing(column string, d time.Duration, t *target) cell {
	return cell{column: column, value: d.Seconds(), format: asTime, target: t}
}
func percent(column string, v float64, t *target) cell {
	return cell{column: column, value: v, format: asPercent, target: t}
}
func number(column string, v int, t *target) cell {
	return cell{column: column, value: float64(v), format: asNumber, target: t}
}
