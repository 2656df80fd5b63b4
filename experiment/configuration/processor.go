package configuration

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// processorTime returns the processor time that work uses. Time in which another thread or
// process has the processor is not part of it, nor is that of goroutines that work starts.
func processorTime(work func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := threadTime()
	work()
	return threadTime() - began
}

// threadTime returns the processor time that the calling thread has used so far.
func threadTime() time.Duration {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		panic(err)
	}
	return time.Duration(used.Nano())
}
