package configuration

import (
	"fmt"
	"io"
	"testing"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/revision"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/template"
)

func newTestKeeper() *Keeper {
	return New(Options{
		Host:    "self",
		Install: func(*template.Snapshot) {},
		Log:     telemetry.NewLogger(io.Discard, "info", "test", "self"),
		Metrics: metrics.NewRegistry(),
	})
}

// TestAddressesOfFormerPeersAreDropped guards against a process whose memory grows with each host
// that was ever in the deployment.
func TestAddressesOfFormerPeersAreDropped(t *testing.T) {
	Convey("Given processes that are replaced by others again and again", t, func() {
		k := newTestKeeper()
		defer k.Close()
		for i := range 100 {
			id := wigeonfork.HostID(fmt.Sprint("h", i))
			k.SetPeers([]infra.Host{{ID: "self"}, {ID: id, ControlAddress: "127.0.0.1:1"}})
		}
		Convey("only the addresses of the last ones are kept", func() {
			So(len(k.addresses), ShouldEqual, 1)
			So(k.addresses["h99"], ShouldEqual, "127.0.0.1:1")
		})
		Convey("a process that is not known yet is answered at the address in its message", func() {
			data, err := revision.Encode(revision.Message{})
			So(err, ShouldBeNil)
			_, err = k.receive(t.Context(), nil, envelope{From: infra.Host{ID: "new", ControlAddress: "127.0.0.1:2"}, Message: data})
			So(err, ShouldBeNil)
			So(k.addresses["new"], ShouldEqual, "127.0.0.1:2")
		})
	})
}
