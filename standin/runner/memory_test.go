package runner

import (
	"context"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestMemoryOfAFullRunner checks the stand-in that the soak judges gateways by: a full model runner refuses or preempts.
func TestMemoryOfAFullRunner(t *testing.T) {
	request := func(priority string) *http.Request {
		q, _ := http.NewRequest("POST", "http://runner/", nil)
		q.Header.Set("Wigeonfork-Token-Count", "60,40")
		q.Header.Set("Wigeonfork-Request-Priority", priority)
		return q
	}
	ended, end := context.WithCancel(context.Background())
	end()
	Convey("a runner that refuses has room again once a run has left", t, func() {
		m := &memory{Memory: Memory{Tokens: 150, RefuseFull: true}}
		first := m.enter(request("1"))
		So(m.enter(request("0")), ShouldBeNil)
		m.leave(first)
		So(m.enter(request("1")), ShouldNotBeNil)
	})
	Convey("a runner that preempts takes the more urgent first, and the preempted run goes on after it", t, func() {
		m := &memory{Memory: Memory{Tokens: 250}}
		old, newer := m.enter(request("2")), m.enter(request("2"))
		So(old.await(context.Background()) && newer.await(context.Background()), ShouldBeTrue)
		equal := m.enter(request("2"))
		So(equal.await(ended), ShouldBeFalse)
		urgent := m.enter(request("0"))
		So(urgent.await(context.Background()), ShouldBeTrue)
		So(old.wasPreempted(), ShouldBeFalse)
		So(newer.wasPreempted(), ShouldBeTrue)
		m.leave(urgent)
		So(newer.await(context.Background()), ShouldBeTrue)
		m.leave(newer)
		So(equal.await(context.Background()), ShouldBeTrue)
	})
}
