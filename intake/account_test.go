package intake

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/connquota"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

func newTestAccount(limits Limits) *Account {
	return NewAccount(limits, telemetry.Discard(), telemetry.NewRegistry())
}

// TestShares guards against shares that are more than there is, and against a kind of peer without one.
func TestShares(t *testing.T) {
	programs := map[string][]Kind{
		"gateway": {Callers, Balancer, Collectors},
		"entry":   {Callers, Peers, Collectors},
		"agent":   {Entries, Peers, Collectors},
	}
	Convey("The shares of each program leave descriptors for its own connections, and memory for the rest", t, func() {
		for program, kinds := range programs {
			var descriptors, memory float64
			for _, kind := range kinds {
				s, isKnown := shares[kind]
				SoMsg(program, isKnown, ShouldBeTrue)
				SoMsg(program, s.descriptors, ShouldBeGreaterThan, 0)
				descriptors += s.descriptors
				memory += s.waiting + s.held
			}
			SoMsg(program, descriptors+idleFraction, ShouldBeLessThan, 1)
			SoMsg(program, memory, ShouldBeLessThanOrEqualTo, SoftLimitFraction)
		}
	})
	Convey("Without limits there are none, and small ones leave each kind enough to be served", t, func() {
		none := Limits{}.connections(Callers)
		So(none.Open, ShouldBeGreaterThan, 1<<30)
		So(none.Waiting, ShouldBeGreaterThan, 1<<30)
		least := connquota.Limits{Open: minConnections, Waiting: minConnections}
		So(Limits{Memory: 1, Descriptors: 1}.connections(Balancer), ShouldResemble, least)
		So(newTestAccount(Limits{Memory: 1 << 20}).Guard(Balancer).Memory().Usage().Limit, ShouldEqual, minHeld)
	})
	Convey("Waiting connections are bounded by memory and descriptors, others by descriptors alone", t, func() {
		So(Limits{Memory: 134 << 20, Descriptors: 3900}.connections(Callers), ShouldResemble, connquota.Limits{Open: 1950, Waiting: 1715})
		So(Limits{Memory: 536 << 20, Descriptors: 3900}.connections(Callers), ShouldResemble, connquota.Limits{Open: 1950, Waiting: 1950})
	})
	Convey("Callers share the quota of backend servers, other kinds have one of their own", t, func() {
		a := newTestAccount(Limits{Memory: 512 << 20})
		So(a.Guard(Callers).Memory(), ShouldPointTo, a.Memory())
		So(a.Guard(Balancer).Memory(), ShouldNotPointTo, a.Guard(Collectors).Memory())
		So(a.Guard(Balancer).Memory().Usage().Limit, ShouldEqual, 8<<20)
	})
}
