package capacity

import (
	"fmt"
	"strings"

	"github.com/wigeonfork/wigeonfork/experiment/report"
)

// role is the function of a process in the system.
type role string

// The roles.
const (
	roleEntry    role = "entry"
	roleAgent    role = "agent"
	roleHolder   role = "lease holder"
	roleOperator role = "operator command"
	roleAll      role = "every process"
)

// series is one cost measured at several sizes.
type series struct {
	role role
	name string
	// unit is the unit of the cost, sizeUnit the unit of the sizes.
	unit, sizeUnit string
	// designSize is the size for which the cost is extrapolated.
	designSize float64
	points     []point
	line       line
}

// atDesign returns the cost at the design size. It is the measured cost if that
// size was measured, else the value of the line, at least 0.
func (s *series) atDesign() float64 {
	for _, p := range s.points {
		if p.x == s.designSize {
			return p.y
		}
	}
	return max(s.line.at(s.designSize), 0)
}

// measure measures a cost at each size and fits a line.
func measure(s series, sizes []int, cost func(size int) (float64, error)) (series, error) {
	for _, size := range sizes {
		y, err := cost(size)
		if err != nil {
			return s, err
		}
		s.points = append(s.points, point{float64(size), y})
	}
	s.line = fitLine(s.points)
	return s, nil
}

// columns are the columns of the table of measured costs.
var columns = []string{"role", "cost", "unit", "measured (size: cost)", "fit", "spread", "r2", "at size", "cost"}

// addTo adds a row with the measured costs and their fit to a report.
func (s *series) addTo(r *report.Report) {
	cells := make([]string, len(s.points))
	for i, p := range s.points {
		cells[i] = fmt.Sprintf("%g: %.4g", p.x, p.y)
	}
	fit := fmt.Sprintf("%.4g + %.4g x %s", s.line.intercept, s.line.slope, s.sizeUnit)
	r.Row(s.role, s.name, s.unit, strings.Join(cells, ", "), fit, s.line.residualStdDev, fmt.Sprintf("%.3f", s.line.r2),
		fmt.Sprintf("%.0f", s.designSize), fmt.Sprintf("%.4g", s.atDesign()))
}

// costs collects the measured series.
type costs struct {
	meter meter
	all   []series
	// err is the first error. No cost is measured after it.
	err error
}

func (c *costs) add(s series, sizes []int, cost func(size int) (float64, error)) {
	if c.err != nil {
		return
	}
	measured, err := measure(s, sizes, cost)
	c.all = append(c.all, measured)
	c.err = err
}

// addCounted adds a cost that is counted or taken from heap statistics, so that it
// cannot fail.
func (c *costs) addCounted(s series, sizes []int, cost func(size int) float64) {
	c.add(s, sizes, func(size int) (float64, error) { return cost(size), nil })
}

// atDesign returns the cost with the given name at the design size.
func (c *costs) atDesign(name string) float64 {
	for i := range c.all {
		if c.all[i].name == name {
			return c.all[i].atDesign()
		}
	}
	panic("no cost is called " + name)
}

// line returns the fit of the cost with the given name.
func (c *costs) line(name string) line {
	for i := range c.all {
		if c.all[i].name == name {
			return c.all[i].line
		}
	}
	panic("no cost is called " + name)
}
