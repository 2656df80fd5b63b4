package capacity

import (
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// repeats is the number of measurements of which the median is taken.
	repeats = 3
	// batchTime is the minimum processor time of one measurement.
	batchTime = 100 * time.Millisecond
	// quickBatchTime replaces batchTime in a quick run.
	quickBatchTime = 5 * time.Millisecond
	// maxOperations bounds the number of operations in one measurement.
	maxOperations = 1 << 24
)

// meter measures the processor time of operations. Each measurement takes at
// least minTime.
type meter struct{ minTime time.Duration }

func newMeter(quick bool) meter {
	if quick {
		return meter{quickBatchTime}
	}
	return meter{batchTime}
}

// processorTime returns the processor time that this process has used so far,
// garbage collection included.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// micros returns the processor time of one operation in microseconds. It is the
// median of several batches. do must run the operation n times.
func (m meter) micros(do func(n int)) (float64, error) {
	n := 1
	values := make([]float64, 0, repeats)
	for len(values) < repeats {
		runtime.GC()
		used, err := measureProcessorTime(func() { do(n) })
		if err != nil {
			return 0, err
		}
		if used < m.minTime && n < maxOperations {
			n = nextOperationCount(n, used, m.minTime)
			continue
		}
		values = append(values, float64(used)/float64(n)/float64(time.Microsecond))
	}
	return median(values), nil
}

func measureProcessorTime(do func()) (time.Duration, error) {
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	do()
	after, err := processorTime()
	return after - before, err
}

// nextOperationCount returns the number of operations for the next attempt, after n
// operations used less than batch.
func nextOperationCount(n int, used, batch time.Duration) int {
	const (
		maxGrowth = 100
		excess    = 1.2
	)
	factor := excess * float64(batch) / float64(max(used, time.Microsecond))
	return min(max(int(float64(n)*min(factor, maxGrowth)), n+1), maxOperations)
}

// heapBytes returns the heap bytes retained by the result of build. It is the
// median of several builds.
func heapBytes(build func() any) float64 {
	values := make([]float64, 0, repeats)
	for range repeats {
		before := liveHeapBytes()
		held := build()
		after := liveHeapBytes()
		runtime.KeepAlive(held)
		values = append(values, float64(after)-float64(before))
	}
	return median(values)
}

func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
