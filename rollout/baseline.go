package rollout

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// Metric is a measurement of a request by which it is compared with others on its route.
type Metric uint8

// The metrics.
const (
	// MetricFirstToken is the time to the first event of a stream.
	MetricFirstToken Metric = iota
	// MetricTokenGap is the mean time between two tokens over a run of a stream.
	MetricTokenGap
	// MetricDuration is the time to the complete answer of a plain service.
	MetricDuration
)

const (
	// minBaselineValues is the number of values from which a median is known.
	minBaselineValues = 6
	// maxBaselines bounds the medians that are kept.
	maxBaselines = 4096
)

// slowLimits says from when a value is slow: above factor times the median plus margin. The factor
// exceeds the ratio of the speeds of servers of one version.
var slowLimits = [...]struct {
	factor float64
	margin time.Duration
}{
	MetricFirstToken: {3, 300 * time.Millisecond},
	MetricTokenGap:   {4, 0},
	MetricDuration:   {3, 20 * time.Millisecond},
}

// baselineKey identifies one median.
type baselineKey struct {
	service wigeonfork.Model
	route   Route
	metric  Metric
}

// Baselines keeps the median of each metric on each route, and over all routes of a service for
// those that have too few values. It is not safe for concurrent use.
type Baselines struct {
	medians map[baselineKey]*quantile
}

// NewBaselines returns Baselines without values.
func NewBaselines() *Baselines { return &Baselines{medians: make(map[baselineKey]*quantile)} }

// Add adds a value of a version that is not under trial.
func (b *Baselines) Add(service wigeonfork.Model, route Route, metric Metric, value time.Duration) {
	b.add(baselineKey{service, route, metric}, value)
	b.add(baselineKey{service, allRoutes, metric}, value)
}

func (b *Baselines) add(key baselineKey, value time.Duration) {
	median := b.medians[key]
	if median == nil {
		if len(b.medians) >= maxBaselines {
			return
		}
		median = &quantile{}
		b.medians[key] = median
	}
	median.add(max(value, time.Microsecond).Seconds(), baselineQuantile)
}

// SlowLimit returns the value above which a request on a route is slow, and false if it is not
// known yet.
func (b *Baselines) SlowLimit(service wigeonfork.Model, route Route, metric Metric) (time.Duration, bool) {
	for _, r := range [...]Route{route, allRoutes} {
		median := b.medians[baselineKey{service, r, metric}]
		if median != nil && median.n >= minBaselineValues {
			limit := slowLimits[metric]
			return time.Duration(limit.factor*median.value()*float64(time.Second)) + limit.margin, true
		}
	}
	return 0, false
}
