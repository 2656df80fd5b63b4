package capacity

import (
	"math"
	"slices"
)

// point is a value y measured at size x.
type point struct{ x, y float64 }

// line is the result of a linear least-squares fit.
type line struct {
	intercept float64
	slope     float64
	// residualStdDev is the standard deviation of the residuals.
	residualStdDev float64
	// r2 is the coefficient of determination. It is 1 if all points have the
	// same y.
	r2 float64
}

// fitLine fits a line to points. If all points have the same x, the line is level
// at their mean.
func fitLine(points []point) line {
	meanX, meanY := means(points)
	var xx, xy, yy float64
	for _, p := range points {
		xx += (p.x - meanX) * (p.x - meanX)
		xy += (p.x - meanX) * (p.y - meanY)
		yy += (p.y - meanY) * (p.y - meanY)
	}
	l := line{intercept: meanY, r2: 1}
	if xx > 0 {
		l.slope = xy / xx
		l.intercept = meanY - l.slope*meanX
	}
	var squaredResiduals float64
	for _, p := range points {
		squaredResiduals += (p.y - l.at(p.x)) * (p.y - l.at(p.x))
	}
	l.residualStdDev = math.Sqrt(squaredResiduals / float64(max(len(points), 1)))
	if yy > 0 {
		l.r2 = 1 - squaredResiduals/yy
	}
	return l
}

// at returns the value of the line at x.
func (l line) at(x float64) float64 { return l.intercept + l.slope*x }

func means(points []point) (x, y float64) {
	for _, p := range points {
		x += p.x
		y += p.y
	}
	n := float64(max(len(points), 1))
	return x / n, y / n
}

// median returns the middle value, or the mean of the two middle ones.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
