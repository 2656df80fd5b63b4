// Package report prints the figures of an experiment as a table, followed by its
// targets, and writes the rows as CSV.
package report

import (
	"encoding/csv"
	"fmt"
	"io"
	"text/tabwriter"
)

// Report collects the figures of one experiment.
type Report struct {
	out     io.Writer
	csv     *csv.Writer
	columns []string
	rows    [][]string
	targets []target
}

// target is one figure and its bound.
type target struct {
	name  string
	value float64
	bound float64
	unit  string
	met   bool
}

// New returns a report that prints to out. It also writes CSV to data, unless data
// is nil.
func New(out, data io.Writer, columns ...string) *Report {
	r := &Report{out: out, columns: columns}
	if data != nil {
		r.csv = csv.NewWriter(data)
	}
	return r
}

// Row adds a row of values, one for each column.
func (r *Report) Row(values ...any) {
	row := make([]string, 0, len(values))
	for _, value := range values {
		row = append(row, format(value))
	}
	r.rows = append(r.rows, row)
}

func format(value any) string {
	if number, ok := value.(float64); ok {
		return fmt.Sprintf("%.3g", number)
	}
	return fmt.Sprint(value)
}

// AtMost adds a target that is met if figure does not exceed bound.
func (r *Report) AtMost(name string, figure, bound float64, unit string) {
	r.targets = append(r.targets, target{name, figure, bound, unit, figure <= bound})
}

// AtLeast adds a target that is met if figure is at least bound.
func (r *Report) AtLeast(name string, figure, bound float64, unit string) {
	r.targets = append(r.targets, target{name, figure, bound, unit, figure >= bound})
}

// Print prints the table and the targets, writes the CSV and returns the number of
// missed targets.
func (r *Report) Print() (int, error) {
	if err := r.writeCSV(); err != nil {
		return 0, err
	}
	table := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	printRow(table, r.columns)
	for _, row := range r.rows {
		printRow(table, row)
	}
	missed := 0
	fmt.Fprintln(table)
	for _, t := range r.targets {
		verdict := "met"
		if !t.met {
			verdict = "MISSED"
			missed++
		}
		fmt.Fprintf(table, "target %s\t%.4g %s\tbound %.4g %s\t%s\n", t.name, t.value, t.unit, t.bound, t.unit, verdict)
	}
	return missed, table.Flush()
}

func printRow(out io.Writer, row []string) {
	for i, cell := range row {
		if i > 0 {
			fmt.Fprint(out, "\t")
		}
		fmt.Fprint(out, cell)
	}
	fmt.Fprintln(out)
}

func (r *Report) writeCSV() error {
	if r.csv == nil {
		return nil
	}
	if err := r.csv.Write(r.columns); err != nil {
		return err
	}
	return r.csv.WriteAll(r.rows)
}
