package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
	"unsafe"

	. "github.com/smartystreets/goconvey/convey"
)

// blockedWriter blocks every write until opened is closed.
type blockedWriter struct {
	opened chan struct{}
	mu     sync.Mutex
	text   bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.opened
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *blockedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// Guards against limits and reports under a wrong name: the log library uses the memory of an event's name again.
func TestLimiterKeepsNoNames(t *testing.T) {
	Convey("The names that are counted don't change with the memory that they came from", t, func() {
		now := time.Unix(100, 0)
		l := newLineLimiter(func() time.Time { return now })
		name := []byte("loud")
		reused := unsafe.String(&name[0], len(name))
		for range maxLinesPerSecond + 3 {
			l.allow(reused)
		}
		copy(name, "soft")
		So(l.allow("soft"), ShouldBeTrue)
		So(l.allow("loud"), ShouldBeFalse)
		now = now.Add(time.Second)
		reports := l.dropReports("now")
		So(reports, ShouldHaveLength, 1)
		So(string(reports[0]), ShouldContainSubstring, "of=loud reason=rate count=4")
	})
}

func TestBoundedLogger(t *testing.T) {
	Convey("Writes don't block while the output blocks, and dropped lines are reported", t, func() {
		out := &blockedWriter{opened: make(chan struct{})}
		sink := newLineSink(out)
		line := []byte(strings.Repeat("x", 1000) + "\n")
		for range 2 * bufferBytes / len(line) {
			n, err := sink.Write(line)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, len(line))
		}
		close(out.opened)
		sink.flush()
		So(out.String(), ShouldContainSubstring, "event=lines_dropped of=all reason=output count=")
	})
	Convey("Lines of an event over its rate limit are dropped and reported in the next second", t, func() {
		now := time.Unix(100, 0)
		l := newLineLimiter(func() time.Time { return now })
		passed := 0
		for range maxLinesPerSecond + 7 {
			if l.allow("loud") {
				passed++
			}
		}
		So(passed, ShouldEqual, maxLinesPerSecond)
		So(l.allow("quiet"), ShouldBeTrue)
		So(l.dropReports("now"), ShouldBeEmpty)
		now = now.Add(time.Second)
		lines := l.dropReports("now")
		So(len(lines), ShouldEqual, 1)
		So(string(lines[0]), ShouldEqual, "time=now level=warn event=lines_dropped of=loud reason=rate count=7\n")
		So(l.allow("loud"), ShouldBeTrue)
	})
	// Guards against logs without the lines that matter: in a second with many different events, all
	// events together got the limit of a single one.
	Convey("An event keeps its own limit when there are more event names than are tracked", t, func() {
		l := newLineLimiter(func() time.Time { return time.Unix(100, 0) })
		So(l.allow("first"), ShouldBeTrue)
		for i := range 2 * maxTrackedEvents {
			l.allow(fmt.Sprint("event", i))
		}
		for range maxLinesPerSecond {
			l.allow("noise")
		}
		So(l.allow("noise"), ShouldBeFalse)
		So(l.allow("first"), ShouldBeTrue)
		So(len(l.counts), ShouldBeLessThanOrEqualTo, maxTrackedEvents+1)
	})
	Convey("Lines are written completely and in order", t, func() {
		var out bytes.Buffer
		logger := NewBoundedLogger(&out, "info", "gateway", "g1")
		logger.Info().Str("request", "r1").Msg("first")
		logger.Info().Str("request", "r1").Msg("second")
		Flush(logger)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		So(len(lines), ShouldEqual, 2)
		So(lines[0], ShouldContainSubstring, "event=first role=gateway id=g1 request=r1")
	})
}
