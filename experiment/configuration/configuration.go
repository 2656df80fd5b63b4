// Package configuration measures how configuration changes propagate through many
// nodes of package revision. The nodes run in one process and in virtual time, messages are
// lost and instances restart. The report shows the time until a change is installed
// on all hosts, the messages, bytes and processor time per host, the table reads,
// their growth with the number of hosts, and their targets.
package configuration

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"
)

// Options configure a run.
type Options struct {
	// Seed seeds the random number generators.
	Seed uint64
	// Quick skips the full size and shortens the other sizes.
	Quick bool
	// CSV receives the rows as comma-separated values if it is not nil.
	CSV io.Writer
}

// Report contains the results of a run. Missed counts the missed targets.
type Report struct {
	Rows   []Row
	Missed int
}

// Targets and parameters of the measurement.
const (
	fullSize               = 11_100
	smallSize              = 100
	targetSmall            = 2 * time.Second
	targetFull             = 6 * time.Second
	targetBytesPerSecond   = 3000.0
	targetProcessorPercent = 1.1
	targetReadsPerSecond   = 10.0
	changesPerDay          = 31_000
	secondsPerDay          = 86_400
	meanChangesPerSecond   = changesPerDay / float64(secondsPerDay)
	peakSize               = 800
	peakFactor             = 5
	peakDuration           = 5 * time.Minute
	lossShare              = 0.20
	domainCount            = 16
	itemCount              = 200
	itemBytes              = 96
	warmUp                 = 15 * time.Second
	settleTime             = 15 * time.Second
	restartsPerHour        = 180
)

type plan struct {
	size             int
	duration         time.Duration
	changesPerSecond float64
}

func plans(quick bool) []plan {
	var list []plan
	for _, size := range []int{50, 100, 200, 400, 800} {
		duration := 20 * time.Minute
		if quick {
			duration = 5 * time.Minute
		}
		list = append(list, plan{size, duration, meanChangesPerSecond})
	}
	list = append(list, plan{peakSize, peakDuration, peakFactor * meanChangesPerSecond})
	if !quick {
		list = append(list, plan{fullSize, 2 * time.Minute, meanChangesPerSecond})
	}
	return list
}

// Run measures all sizes and writes the report to w.
func Run(w io.Writer, options Options) (Report, error) {
	var report Report
	_, err := fmt.Fprintf(w, "configuration: seed %d, %.0f%% of messages lost, %d restarts of hosts an hour, bytes include %d per packet\n\n",
		options.Seed, lossShare*100, restartsPerHour, packetOverheadBytes)
	if err != nil {
		return report, err
	}
	if err := writeHeader(w); err != nil {
		return report, err
	}
	for _, p := range plans(options.Quick) {
		row := measure(p, options.Seed)
		report.Rows = append(report.Rows, row)
		if err := row.write(w); err != nil {
			return report, err
		}
	}
	report.Missed, err = writeVerdicts(w, report.Rows)
	if err != nil || options.CSV == nil {
		return report, err
	}
	return report, writeCSV(options.CSV, report.Rows)
}

func writeCSV(w io.Writer, rows []Row) error {
	out := csv.NewWriter(w)
	records := [][]string{{
		"hosts", "changes_per_s", "changes", "in_force_p50_ms", "in_force_p99_ms", "in_force_max_ms", "messages_per_host_s",
		"bytes_sent_per_host_s", "idle_bytes_sent_per_host_s", "bytes_per_change_host", "table_reads_s",
		"processor_us_per_host_s", "processor_us_per_change_host", "seed",
	}}
	for _, r := range rows {
		records = append(records, []string{
			strconv.Itoa(r.Hosts), decimal(r.Rate), strconv.Itoa(r.Changes), milliseconds(r.P50), milliseconds(r.P99), milliseconds(r.Max),
			decimal(r.Messages), decimal(r.Bytes), decimal(r.IdleBytes), decimal(r.BytesPerChange), decimal(r.Reads),
			decimal(r.Processor), decimal(r.ProcessorPerChange), strconv.FormatUint(r.Seed, 10),
		})
	}
	if err := out.WriteAll(records); err != nil {
		return err
	}
	return out.Error()
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func decimal(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }
