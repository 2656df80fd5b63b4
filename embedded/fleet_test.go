package embedded

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/standin/engine"
)

func TestIdleEntryKeepsEveryServerReady(t *testing.T) {
	Convey("An idle entry keeps all 28 backend servers ready, the size of the current production fleet", t, func() {
		options := Options{Services: 3}
		for range 25 {
			options.Engines = append(options.Engines, engine.Options{})
		}
		system, err := Start(options)
		So(err, ShouldBeNil)
		defer system.Close()
		So(system.Entries[0].Process.Ready(28), ShouldBeTrue)
		_, _, typed := sendAction(system.Entries[0].Address, newKey(), "ridge")
		So(typed, ShouldBeNil)
	})
}
