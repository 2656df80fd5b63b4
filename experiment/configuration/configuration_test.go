package configuration

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPropagation(t *testing.T) {
	Convey("With a fifth of the messages lost and hosts restarting", t, func() {
		few := measure(plan{20, 20 * time.Second, 1}, 1)
		many := measure(plan{100, 20 * time.Second, 1}, 1)
		Convey("every change is installed on all hosts within the target time", func() {
			So(few.Changes, ShouldBeGreaterThan, 10)
			So(few.Unfinished+many.Unfinished, ShouldEqual, 0)
			So(few.Max, ShouldBeLessThanOrEqualTo, targetFull)
			So(many.Max, ShouldBeLessThanOrEqualTo, targetFull)
		})
		Convey("table reads stay below the target at both sizes", func() {
			So(few.Reads, ShouldBeLessThan, targetReadsPerSecond)
			So(many.Reads, ShouldBeLessThan, targetReadsPerSecond)
		})
		Convey("the same seed gives the same figures", func() {
			again := measure(plan{20, 20 * time.Second, 1}, 1)
			So(again.Bytes, ShouldEqual, few.Bytes)
			So(again.P99, ShouldEqual, few.P99)
		})
	})
	Convey("A missed target is counted and printed", t, func() {
		var out bytes.Buffer
		rows := []Row{{Hosts: 50, Max: time.Minute}, {Hosts: 100, Unfinished: 1}}
		missed, err := writeVerdicts(&out, rows)
		So(err, ShouldBeNil)
		So(missed, ShouldBeGreaterThanOrEqualTo, 2)
		So(strings.Count(out.String(), "MISSED"), ShouldEqual, missed)
	})
}

// TestProcessorTimeIsNotElapsedTime guards against figures that grow with the load of the machine on
// which the experiment runs.
func TestProcessorTimeIsNotElapsedTime(t *testing.T) {
	Convey("Time in which a call waits is not processor time, and time in which it computes is", t, func() {
		const waited = 200 * time.Millisecond
		r := newEntrySimulation(1)
		r.measureTime(func() { time.Sleep(waited) })
		So(r.processor, ShouldBeLessThan, waited/4)
		before := r.processor
		r.measureTime(func() {
			sum := 0
			for i := range 20_000_000 {
				sum += i * i
			}
			So(sum, ShouldNotEqual, 0)
		})
		So(r.processor, ShouldBeGreaterThan, before+time.Millisecond)
	})
}
