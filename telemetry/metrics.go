package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Registry holds the metrics of one process.
type Registry = metrics.Registry

// NewRegistry returns an empty registry.
func NewRegistry() Registry {
	return metrics.NewRegistry()
}

// Counter returns the counter called name and registers it on first use.
func Counter(r Registry, name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, r)
}

// Gauge returns the gauge called name and registers it on first use.
func Gauge(r Registry, name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, r)
}

// GaugeOf registers a gauge whose value is read when it is asked for. A name that is registered keeps its first gauge.
func GaugeOf(r Registry, name string, value func() int64) {
	// The only error is that the name is registered.
	_ = metrics.NewRegisteredFunctionalGauge(name, r, value)
}

// histogramSamples is the number of values that a histogram keeps.
const histogramSamples = 1028

// histogramDecay is the factor of the exponential decay by which a histogram favours
// recent values.
const histogramDecay = 0.015

// Histogram returns the histogram called name and registers it on first use.
func Histogram(r Registry, name string) metrics.Histogram {
	return r.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSamples, histogramDecay))
	}).(metrics.Histogram)
}

var quantiles = []float64{0.5, 0.95, 0.99}

// MetricsHandler answers with all metrics in the text exposition format.
func MetricsHandler(r Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		writeMetrics(w, r)
	})
}

func writeMetrics(w io.Writer, r Registry) {
	var lines []string
	r.Each(func(name string, metric any) {
		lines = append(lines, formatMetric("wigeonfork_"+strings.Map(sanitizeMetricRune, name), metric))
	})
	sort.Strings(lines)
	for _, line := range lines {
		// A write fails only if the collector has disconnected.
		_, _ = io.WriteString(w, line)
	}
}

// sanitizeMetricRune replaces a character that a metric name must not contain.
func sanitizeMetricRune(r rune) rune {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return r
	default:
		return '_'
	}
}

func formatMetric(name string, metric any) string {
	switch m := metric.(type) {
	case metrics.Counter:
		return fmt.Sprintf("# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		return fmt.Sprintf("# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.Histogram:
		return formatSummary(name, m.Snapshot())
	}
	return ""
}

func formatSummary(name string, h metrics.Histogram) string {
	text := fmt.Sprintf("# TYPE %s summary\n", name)
	for i, value := range h.Percentiles(quantiles) {
		text += fmt.Sprintf("%s{quantile=\"%g\"} %g\n", name, quantiles[i], value)
	}
	return text + fmt.Sprintf("%s_sum %d\n%s_count %d\n", name, h.Sum(), name, h.Count())
}
