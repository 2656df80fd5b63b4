package configuration

import (
	"fmt"
	"io"
	"math"
	"time"
)

const rowFormat = "%7d %8.2f %8d %8s %8s %8s %9.2f %9.0f %9.0f %9.0f %8.2f %9.1f %9.1f %9.1f\n"

func writeHeader(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%7s %8s %8s %26s %9s %29s %8s %29s\n%7s %8s %8s %8s %8s %8s %9s %9s %9s %9s %8s %9s %9s %9s\n",
		"", "changes", "", "in force everywhere", "messages", "bytes sent per host", "reads", "processor us per host",
		"hosts", "/s", "changes", "p50", "p99", "max", "/host/s", "/s", "idle /s", "/change", "/s", "/s", "idle /s", "/change")
	return err
}

func (r *Row) write(w io.Writer) error {
	_, err := fmt.Fprintf(w, rowFormat, r.Hosts, r.Rate, r.Changes, rounded(r.P50), rounded(r.P99), rounded(r.Max), r.Messages,
		r.Bytes, r.IdleBytes, r.BytesPerChange, r.Reads, r.Processor, r.IdleProcessor, r.ProcessorPerChange)
	return err
}

func rounded(d time.Duration) string { return d.Round(time.Millisecond).String() }

// fit is the result of a linear least-squares fit. residualStdDev is the standard
// deviation of the residuals.
type fit struct {
	intercept      float64
	slope          float64
	residualStdDev float64
}

// fitLine fits a line to the points (x[i], y[i]).
func fitLine(x, y []float64) fit {
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	intercept := (sumY - slope*sumX) / n
	var squares float64
	for i := range x {
		residual := y[i] - intercept - slope*x[i]
		squares += residual * residual
	}
	return fit{intercept, slope, math.Sqrt(squares / n)}
}

func (f fit) at(x float64) float64 { return f.intercept + f.slope*x }

// writeVerdicts prints the fits over the logarithm of the number of hosts and the
// verdict on every target. It returns the number of missed targets.
func writeVerdicts(w io.Writer, rows []Row) (int, error) {
	v := &verdicts{w: w}
	v.text("\nfits over log2(hosts), sizes up to 800; worked out for %d hosts\n", fullSize)
	hosts := column(rows, func(r *Row) float64 { return math.Log2(float64(r.Hosts)) })
	installTime := v.fit("p99 until in force, s", hosts, column(rows, func(r *Row) float64 { return r.P99.Seconds() }))
	bytes := v.fit("bytes sent per host and s", hosts, column(rows, func(r *Row) float64 { return r.Bytes }))
	processor := v.fit("processor us per host and s", hosts, column(rows, func(r *Row) float64 { return r.Processor }))
	v.text("\ntargets\n")
	for i := range rows {
		v.row(&rows[i])
	}
	full := math.Log2(fullSize)
	v.target("worked out for the full size: p99 until in force, s", installTime.at(full), targetFull.Seconds())
	v.target("worked out for the full size: bytes sent and received per host and s", 2*bytes.at(full), targetBytesPerSecond)
	v.target("worked out for the full size: processor, % of a core", percent(processor.at(full)), targetProcessorPercent)
	idle, loaded := writeMembership(v)
	propagationBytes := 2 * bytesAtFullSize(rows, bytes.at(full))
	v.text("\ncontrol of an entry together at the full size, bytes sent and received per s\n")
	v.target("with a stream open at every member of the subset", propagationBytes+loaded, targetBytesPerSecond)
	v.target("with no stream open", propagationBytes+idle, targetBytesPerSecond)
	v.text("\n%d targets missed\n", v.missed)
	return v.missed, v.err
}

// bytesAtFullSize returns the bytes sent per host and second at the full size: the
// larger of the measured and the extrapolated value, or the extrapolated one if the
// full size was not measured.
func bytesAtFullSize(rows []Row, extrapolated float64) float64 {
	for i := range rows {
		if rows[i].Hosts == fullSize {
			return max(extrapolated, rows[i].Bytes)
		}
	}
	return extrapolated
}

func column(rows []Row, value func(*Row) float64) []float64 {
	var list []float64
	for i := range rows {
		if rows[i].Hosts < fullSize && rows[i].Rate == meanChangesPerSecond {
			list = append(list, value(&rows[i]))
		}
	}
	return list
}

func percent(microsecondsPerSecond float64) float64 { return microsecondsPerSecond / 1e4 }

type verdicts struct {
	w      io.Writer
	missed int
	err    error
}

func (v *verdicts) text(format string, args ...any) {
	if v.err == nil {
		_, v.err = fmt.Fprintf(v.w, format, args...)
	}
}

func (v *verdicts) fit(name string, x, y []float64) fit {
	f := fitLine(x, y)
	v.text("  %-30s %10.3f + %8.3f x log2(hosts), spread %.3f\n", name, f.intercept, f.slope, f.residualStdDev)
	return f
}

func (v *verdicts) row(r *Row) {
	name := fmt.Sprintf("%d hosts, %.2f changes/s: ", r.Hosts, r.Rate)
	limit := targetFull
	if r.Hosts <= smallSize {
		limit = targetSmall
	}
	v.target(name+"changes not in force everywhere at the end", float64(r.Unfinished), 0)
	v.target(name+"max until in force, s", r.Max.Seconds(), limit.Seconds())
	v.target(name+"table reads per s", r.Reads, targetReadsPerSecond)
	v.target(name+"bytes sent and received per host and s", 2*r.Bytes, targetBytesPerSecond)
	v.target(name+"processor, % of a core", percent(r.Processor), targetProcessorPercent)
}

func (v *verdicts) target(name string, value, limit float64) {
	verdict := "met"
	if value > limit {
		verdict = "MISSED"
		v.missed++
	}
	v.text("  %-88s %10.3f  at most %8.3f  %s\n", name, value, limit, verdict)
}
