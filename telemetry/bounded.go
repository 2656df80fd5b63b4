package telemetry

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Limits of a bounded logger.
const (
	// maxLinesPerSecond limits the lines of one event name in a second.
	maxLinesPerSecond = 200
	// maxTrackedEvents limits the event names that are counted in a second. Once it is
	// reached, lines of further names in that second count as otherEvents.
	maxTrackedEvents = 256
	otherEvents      = "other"
	// bufferBytes limits the pending output.
	bufferBytes = 256 << 10
	// flushInterval is how long lines are collected for one write, since the wake-up
	// for a write costs more than its lines. A killed process loses the pending lines.
	flushInterval = 400 * time.Millisecond
)

// NewBoundedLogger returns a logger like NewLogger that never blocks on out. Lines
// beyond maxLinesPerSecond of one event, and lines that arrive while bufferBytes are
// pending, are dropped. Their number is logged as event=lines_dropped.
func NewBoundedLogger(out io.Writer, level, role, id string) *Logger {
	logger := NewLogger(io.Discard, level, role, id)
	sink := newLineSink(out)
	limiter := newLineLimiter(time.Now)
	logger.Writer = &log.ConsoleWriter{
		Writer: sink,
		Formatter: func(w io.Writer, args *log.FormatterArgs) (int, error) {
			for _, line := range limiter.dropReports(args.Time) {
				if _, err := w.Write(line); err != nil {
					return 0, err
				}
			}
			if !limiter.allow(args.Message) {
				return 0, nil
			}
			return formatKeyValues(w, args)
		},
	}
	return logger
}

// lineLimiter limits the lines of each event in each second and counts those that
// are dropped.
type lineLimiter struct {
	now func() time.Time

	mu     sync.Mutex
	second int64
	// counts holds the lines of the present second by event, and dropped those that were dropped.
	counts  map[string]*int
	dropped map[string]int
}

func newLineLimiter(now func() time.Time) *lineLimiter {
	return &lineLimiter{now: now, counts: make(map[string]*int), dropped: make(map[string]int)}
}

// allow counts a line of event and reports whether it may be written. The text of event is not kept: the log library
// uses its memory for the next line.
func (l *lineLimiter) allow(event string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.now().Unix(); second != l.second {
		l.second = second
		clear(l.counts)
	}
	count := l.counts[event]
	if count == nil {
		if len(l.counts) >= maxTrackedEvents {
			event = otherEvents
		}
		count = l.track(event)
	}
	*count++
	if *count > maxLinesPerSecond {
		l.dropped[strings.Clone(event)]++
		return false
	}
	return true
}

// track returns the count of an event, which begins at 0.
func (l *lineLimiter) track(event string) *int {
	if count := l.counts[event]; count != nil {
		return count
	}
	count := new(int)
	l.counts[strings.Clone(event)] = count
	return count
}

// dropReports returns one line, with the time at, for each event with lines dropped
// since the last report. Lines dropped in the current second are reported in a later one.
func (l *lineLimiter) dropReports(at string) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.dropped) == 0 || l.now().Unix() == l.second {
		return nil
	}
	var lines [][]byte
	for event, n := range l.dropped {
		lines = append(lines, fmt.Appendf(nil, "time=%s level=warn event=lines_dropped of=%s reason=rate count=%d\n", at, event, n))
	}
	clear(l.dropped)
	return lines
}

// lineSink writes lines in the background. Lines that arrive while the buffer is
// full are dropped and counted.
type lineSink struct {
	// flushMu is held during writes to out. It is locked before mu.
	flushMu sync.Mutex
	out     io.Writer

	mu             sync.Mutex
	buffer         []byte
	dropped        int
	flushScheduled bool
	writing        bool
}

func newLineSink(out io.Writer) *lineSink { return &lineSink{out: out} }

// Write implements io.Writer. It never blocks on the output.
func (s *lineSink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(line) > bufferBytes {
		s.dropped++
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	s.scheduleFlush()
	return len(line), nil
}

// scheduleFlush schedules a flush unless one is pending or running. The caller must
// hold mu.
func (s *lineSink) scheduleFlush() {
	if !s.flushScheduled && !s.writing {
		s.flushScheduled = true
		time.AfterFunc(flushInterval, s.flush)
	}
}

func (s *lineSink) flush() {
	s.flushMu.Lock()
	defer s.flushMu.Unlock()
	s.mu.Lock()
	pending := s.buffer
	if s.dropped > 0 {
		pending = fmt.Appendf(pending, "time=%s level=warn event=lines_dropped of=all reason=output count=%d\n", time.Now().Format(logTimeFormat), s.dropped)
	}
	s.buffer, s.dropped, s.flushScheduled, s.writing = nil, 0, false, true
	s.mu.Unlock()
	if len(pending) > 0 {
		// An error is ignored: the log is the only place to report it.
		_, _ = s.out.Write(pending)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = false
	if len(s.buffer) > 0 || s.dropped > 0 {
		s.scheduleFlush()
	}
}

// finalFlushTimeout limits the wait for the output in Flush.
const finalFlushTimeout = 300 * time.Millisecond

// Flush writes the pending lines of a bounded logger. A process calls it before it
// exits. It returns after finalFlushTimeout if the output blocks.
func Flush(logger *Logger) {
	console, ok := logger.Writer.(*log.ConsoleWriter)
	if !ok {
		return
	}
	sink, ok := console.Writer.(*lineSink)
	if !ok {
		return
	}
	done := make(chan struct{})
	go func() {
		sink.flush()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(finalFlushTimeout):
	}
}
