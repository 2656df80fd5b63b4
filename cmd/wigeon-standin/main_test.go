package main

import (
	"net/http"
	"testing"

	"github.com/jessevdk/go-flags"
	. "github.com/smartystreets/goconvey/convey"
)

func TestStart(t *testing.T) {
	Convey("Every kind starts from its flags and responds at its address", t, func() {
		paths := map[string]string{
			"engine": "/v1/load", "service": "/any", "table": "/v1/scan",
			"objects": "/v1/objects", "weights": "/v1/weights/m/v/info", "hosts": "/v1/hosts",
		}
		for kind, path := range paths {
			var s settings
			_, err := flags.ParseArgs(&s, []string{"--kind", kind, "--weights", "m/v", "--version", "m/v"})
			So(err, ShouldBeNil)
			started, err := start(s)
			So(err, ShouldBeNil)
			resp, err := http.Get("http://" + started.Addr() + path)
			So(err, ShouldBeNil)
			So(resp.Body.Close(), ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
			started.Close()
		}
	})
	Convey("A version that is not MODEL/VERSION is an error", t, func() {
		_, err := start(settings{Kind: "engine", Listen: "127.0.0.1:0", Versions: []string{"m"}})
		So(err, ShouldNotBeNil)
	})
}
