package capacity

import (
	"fmt"
	"strings"

	"github.com/wigeonfork/wigeonfork/experiment/report"
)

// role is a part that a process plays.
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
	// unit is that of the cost, sizeUnit what the cost is measured over.
	unit, sizeUnit string
	// designSize is the size to work the cost out for.
	designSize float64
	points     []point
	line       line
}

// atDesign returns the cost worked out for the size to design for: what was
// measured there, or what the line gives.
func (s *series) atDesign() float64 {
	for _, p := range s.points {
		if p.x == s.designSize {
			return p.y
		}
	}
	return max(s.line.at(s.designSize), 0)
}

// measure measures a cost at each size.
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

// columns are those of the table of measured costs.
var columns = []string{"role", "cost", "unit", "measured (size: cost)", "fit", "spread", "r2", "at size", "cost"}

// addTo adds the measured figures and their fit as a row.
func (s *series) addTo(r *report.Report) {
	cells := make([]string, len(s.points))
	for i, p := range s.points {
		cells[i] = fmt.Sprintf("%g: %.4g", p.x, p.y)
	}
	fit := fmt.Sprintf("%.4g + %.4g x %s", s.line.intercept, s.line.slope, s.sizeUnit)
	r.Row(s.role, s.name, s.unit, strings.Join(cells, ", "), fit, s.line.residualStdDev, fmt.Sprintf("%.3f", s.line.r2),
		fmt.Sprintf("%.0f", s.designSize), fmt.Sprintf("%.4g", s.atDesign()))
}

// costs holds the series by name.
type costs struct {
	meter meter
	all   []series
	// err is the first error; nothing is measured after it.
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

// addCounted adds a cost that is counted or read off the heap.
func (c *costs) addCounted(s series, sizes []int, cost func(size int) float64) {
	c.add(s, sizes, func(size int) (float64, error) { return cost(size), nil })
}

// atDesign returns the cost called name atDesign the size to design for.
func (c *costs) atDesign(name string) float64 {
	for i := range c.all {
		if c.all[i].name == name {
			return c.all[i].atDesign()
		}
	}
	panic("no cost is called " + name)
}

// line returns the fit of the cost called name.
func (c *costs) line(name string) line {
	for i := range c.all {
		if c.all[i].name == name {
			return c.all[i].line
		}
	}
	panic("no cost is called " + name)
}
