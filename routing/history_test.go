package routing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/test/stepped"
)

// Guards against the requests of other entries being miscounted after the host's time of day was set: a load report
// was compared with the own requests of another time.
func TestOwnRequestsOverStepsOfTheClock(t *testing.T) {
	for _, seconds := range []int64{-30, 0, 30} {
		Convey(fmt.Sprintf("The own requests at a time are known after a step of %d s", seconds), t, func() {
			s := &server{}
			start := time.Now()
			s.addOwnRequests(start, 3)
			at := func(after time.Duration) time.Time { return stepped.Wall(start.Add(after), seconds) }
			s.addOwnRequests(at(time.Second), 2)
			So(s.ownRequestsAt(at(1500*time.Millisecond), at(500*time.Millisecond)), ShouldEqual, 3)
			So(s.ownRequestsAt(at(1500*time.Millisecond), at(1200*time.Millisecond)), ShouldEqual, 5)
		})
	}
}
