package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/storepos"
)

var eraStart = time.Unix(1000, 0)

func orderAt(to wigeonfork.Version, era, revision uint64) rollout.MoveOrder {
	return rollout.MoveOrder{Service: "s", To: to, Duration: time.Minute, Position: storepos.Position{Era: era, Revision: revision}}
}

// Guards against a finished move that begins anew since its order is written again, and against an
// order of the copy that replaces a newer one.
func TestOrdersWrittenAgain(t *testing.T) {
	Convey("In a new era, known orders are not new at any revision until the operator has written again", t, func() {
		r := newOrderRewrites()
		r.given(orderAt("v2", 1, 20))
		r.given(orderAt("v3", 1, 50))
		So(r.isRewritten(eraStart, orderAt("v3", 1, 60)), ShouldBeFalse)
		So(r.isRewritten(eraStart, orderAt("v3", 2, 10)), ShouldBeTrue)
		r.eraBegan(eraStart, 2)
		So(r.isRewritten(eraStart, orderAt("v2", 2, 20)), ShouldBeTrue)
		So(r.isRewritten(eraStart, orderAt("v3", 2, 90)), ShouldBeTrue)
		So(r.isRewritten(eraStart, orderAt("v4", 2, 95)), ShouldBeFalse)
		So(r.isRewritten(eraStart.Add(orderRewritePeriod), orderAt("v2", 2, 200)), ShouldBeFalse)
	})
	Convey("Reports on one order are merged over eras, and those on another order of the same content are not", t, func() {
		r := newOrderRewrites()
		r.given(orderAt("v2", 1, 20))
		So(r.isSame(orderAt("v2", 2, 60), orderAt("v2", 1, 20)), ShouldBeTrue)
		So(r.isSame(orderAt("v2", 1, 20), orderAt("v2", 2, 60)), ShouldBeTrue)
		So(r.isSame(orderAt("v2", 2, 60), orderAt("v2", 2, 15)), ShouldBeTrue)
		So(r.isSame(orderAt("v2", 1, 20), orderAt("v2", 1, 30)), ShouldBeFalse)
		So(r.isSame(orderAt("v2", 1, 20), orderAt("v3", 1, 20)), ShouldBeFalse)
		r.given(orderAt("v2", 2, 300))
		So(r.isSame(orderAt("v2", 2, 300), orderAt("v2", 1, 20)), ShouldBeFalse)
	})
}

// Guards against a stored state of another era that is taken for the end of a move.
func TestStoredStateOfAnotherEra(t *testing.T) {
	Convey("A state belongs to an order only if both were read in the same era and it is later", t, func() {
		stored := StoredMove{State: MoveCompleted, To: "v2", Position: storepos.Position{Era: 2, Revision: 30}}
		So(stored.isFinalFor(orderAt("v2", 2, 20)), ShouldBeTrue)
		So(stored.isFinalFor(orderAt("v2", 2, 40)), ShouldBeFalse)
		So(stored.isFinalFor(orderAt("v2", 1, 20)), ShouldBeFalse)
	})
}
