package routing

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// maxDetectionTime bounds the time to detect a stall, so that output resumes
// within 2 s.
const maxDetectionTime = 1500 * time.Millisecond

// runWatch feeds a Watch with one token per gap. It returns the time from the
// start until the stream is first found unhealthy, or about total.
func runWatch(w *Watch, from time.Time, gap, total time.Duration) (time.Duration, Health) {
	next := gap
	for at := time.Duration(0); at < total; at += 50 * time.Millisecond {
		for next <= at {
			w.Tokens(from.Add(next), 1)
			next += gap
		}
		if health := w.Check(from.Add(at)); health != HealthGood {
			return at, health
		}
	}
	return total, HealthGood
}

func TestWatch(t *testing.T) {
	for _, normal := range []time.Duration{10 * time.Millisecond, 25 * time.Millisecond, 100 * time.Millisecond} {
		Convey("With a normal gap of "+normal.String(), t, func() {
			w := NewWatch(start, normal, 100*time.Millisecond)
			at, health := runWatch(&w, start, normal, 10*time.Second)
			So(health, ShouldEqual, HealthGood)
			now := start.Add(at)

			Convey("a stream that stops is detected", func() {
				at, health := runWatch(&w, now, time.Hour, 10*time.Second)
				So(health, ShouldEqual, HealthStalled)
				So(at, ShouldBeLessThanOrEqualTo, maxDetectionTime)
			})
			Convey("a stream at a tenth of the speed is detected", func() {
				at, health := runWatch(&w, now, 10*max(normal, minExpectedGap), 10*time.Second)
				So(health, ShouldNotEqual, HealthGood)
				So(at, ShouldBeLessThanOrEqualTo, 2*time.Second)
			})
			Convey("a stream at half the speed is healthy", func() {
				_, health := runWatch(&w, now, 2*normal, 10*time.Second)
				So(health, ShouldEqual, HealthGood)
			})
		})
	}
	Convey("A stream without a first token is detected", t, func() {
		w := NewWatch(start, 20*time.Millisecond, 200*time.Millisecond)
		So(w.Check(start.Add(900*time.Millisecond)), ShouldEqual, HealthGood)
		So(w.Check(start.Add(maxDetectionTime)), ShouldEqual, HealthStalled)
		So(w.NextCheck(), ShouldHappenOnOrBefore, start.Add(maxDetectionTime))
	})
}

func TestSuspectServerRecovery(t *testing.T) {
	Convey("A slow server gets only probes until a probe runs at normal speed", t, func() {
		r := newRouter(2, Options{ProbeInterval: time.Second})
		at := start
		step := func(gap time.Duration) {
			at = at.Add(100 * time.Millisecond)
			r.Progress(at, "b0", 4, gap)
			r.Progress(at, "b1", 4, 20*time.Millisecond)
		}
		for range 300 {
			step(20 * time.Millisecond)
		}
		for range 10 {
			step(200 * time.Millisecond)
		}
		r.MarkUnhealthy(at, "b0", HealthSlow)
		So(r.State("b0"), ShouldEqual, StateSuspect)
		probes := 0
		for range 100 {
			step(200 * time.Millisecond)
			d, err := r.Choose(at, newRequest())
			So(err, ShouldBeNil)
			if d.ID == "b0" {
				So(d.Probe, ShouldBeTrue)
				probes++
			}
		}
		So(probes, ShouldBeBetweenOrEqual, 8, 10)
		So(r.State("b0"), ShouldEqual, StateSuspect)
		step(22 * time.Millisecond)
		So(r.State("b0"), ShouldEqual, StateSuspect) // the stream started before the suspicion
		r.FirstToken(at, "b0", FirstToken{Wait: 100 * time.Millisecond})
		So(r.FirstTokenSince("b0", at.Add(-time.Millisecond)), ShouldBeTrue)
		So(r.FirstTokenSince("b0", at), ShouldBeFalse)
		step(22 * time.Millisecond)
		So(r.State("b0"), ShouldEqual, StateReady)
	})
	Convey("SetState overrides the state that follows from the health of streams", t, func() {
		r := newRouter(1, Options{})
		r.Progress(start, "b0", 4, 20*time.Millisecond)
		r.MarkUnhealthy(start, "b0", HealthSlow)
		r.FirstToken(start.Add(time.Second), "b0", FirstToken{Wait: 100 * time.Millisecond})
		r.Progress(start.Add(time.Second), "b0", 4, 20*time.Millisecond)
		So(r.State("b0"), ShouldEqual, StateReady)
		r.SetState(start, "b0", StateSuspect)
		r.Progress(start, "b0", 4, 20*time.Millisecond)
		So(r.State("b0"), ShouldEqual, StateSuspect)
		r.SetState(start, "b0", StateLeaving)
		r.MarkUnhealthy(start, "b0", HealthStalled)
		So(r.State("b0"), ShouldEqual, StateLeaving)
	})
}
