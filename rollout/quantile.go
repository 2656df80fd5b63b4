package rollout

import "math"

const (
	firstQuantileStep = 0.5
	lastQuantileStep  = 0.02
)

// quantile estimates a quantile of positive values in constant memory, by small multiplicative
// steps.
type quantile struct {
	log float64
	n   uint32
}

// add updates the estimate of quantile q with one value.
func (e *quantile) add(value, q float64) {
	x := math.Log(value)
	e.n++
	if e.n == 1 {
		e.log = x
		return
	}
	step := max(lastQuantileStep, firstQuantileStep/math.Sqrt(float64(e.n)))
	if x > e.log {
		e.log += step * q
		return
	}
	e.log -= step * (1 - q)
}

// value returns the estimate. It is meaningful after minQuantileValues values.
func (e *quantile) value() float64 { return math.Exp(e.log) }
