package connquota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestConnectionsStayWithinTheirLimits guards against more connections than the limits allow, against ones that are closed while
// they serve a request, and against counts that drift.
func TestConnectionsStayWithinTheirLimits(t *testing.T) {
	const (
		closed = iota
		waiting
		serving
	)
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Open: rapid.IntRange(1, 6).Draw(t, "open"), Waiting: rapid.IntRange(1, 6).Draw(t, "waiting")}
		q, now := New(limits), time.Unix(1000, 0)
		states := make(map[*Conn]int)
		var conns []*Conn
		evict := func(evicted []*Conn, kept *Conn) {
			for _, c := range evicted {
				if states[c] == serving && c != kept {
					t.Fatal("a connection is closed while it serves a request")
				}
				states[c] = closed
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			if len(conns) == 0 || rapid.Bool().Draw(t, "new") {
				c := NewConn(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "address")))
				conns = append(conns, c)
				states[c] = waiting
				evict(q.Accept(c, now), c)
			} else {
				c := conns[rapid.IntRange(0, len(conns)-1).Draw(t, "conn")]
				switch rapid.IntRange(0, 3).Draw(t, "event") {
				case 0:
					if q.Serve(c) && states[c] != closed {
						states[c] = serving
					}
				case 1:
					if states[c] != closed {
						states[c] = waiting
					}
					evict(q.Wait(c, now), c)
				case 2:
					q.Answered(c)
				case 3:
					q.Close(c)
					states[c] = closed
				}
			}
			open, idle := 0, 0
			for _, state := range states {
				if state != closed {
					open++
				}
				if state == waiting {
					idle++
				}
			}
			if q.Open() != open || q.Waiting() != idle {
				t.Fatalf("%d open and %d waiting are counted, %d and %d are", q.Open(), q.Waiting(), open, idle)
			}
			if open > limits.Open || idle > limits.Waiting {
				t.Fatalf("%d open and %d waiting exceed %+v", open, idle, limits)
			}
		}
	})
}

// TestOrderOfEviction guards against callers whose connections are closed for those of others.
func TestOrderOfEviction(t *testing.T) {
	start := time.Unix(1000, 0)
	accept := func(q *Quota, address string, at time.Duration) (*Conn, []*Conn) {
		c := NewConn(address)
		return c, q.Accept(c, start.Add(at))
	}
	Convey("Given an address with two connections and another with one", t, func() {
		q := New(Limits{Open: 3, Waiting: 3})
		first, _ := accept(q, "a", 0)
		second, _ := accept(q, "a", time.Second)
		other, _ := accept(q, "b", 0)
		Convey("that which has waited longest goes, of the address that has most", func() {
			_, evicted := accept(q, "c", 2*time.Second)
			So(evicted, ShouldResemble, []*Conn{first})
			So(first.IsEvicted(), ShouldBeTrue)
			So(q.Serve(first), ShouldBeFalse)
		})
		Convey("one that serves a request stays", func() {
			So(q.Serve(first), ShouldBeTrue)
			_, evicted := accept(q, "a", 2*time.Second)
			So(evicted, ShouldResemble, []*Conn{second})
		})
		Convey("one that has had an answer stays longer", func() {
			q.Answered(first)
			So(q.Wait(first, start.Add(time.Second)), ShouldBeEmpty)
			_, evicted := accept(q, "a", 3*time.Second)
			So(evicted, ShouldResemble, []*Conn{second})
		})
		Convey("a new connection is closed only if all others serve", func() {
			for _, c := range []*Conn{first, second, other} {
				So(q.Serve(c), ShouldBeTrue)
			}
			c, evicted := accept(q, "c", 2*time.Second)
			So(evicted, ShouldResemble, []*Conn{c})
			So(q.Open(), ShouldEqual, 3)
		})
	})
	Convey("Waiting connections have a limit of their own", t, func() {
		q := New(Limits{Open: 10, Waiting: 1})
		first, _ := accept(q, "a", 0)
		So(q.Serve(first), ShouldBeTrue)
		second, evicted := accept(q, "a", time.Second)
		So(evicted, ShouldBeEmpty)
		So(q.Wait(first, start.Add(2*time.Second)), ShouldResemble, []*Conn{second})
	})
}
