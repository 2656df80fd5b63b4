package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/gateway"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

const settingsText = `node_name = "front-1"
ip = "127.0.0.1"
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
[platform]
address = "127.0.0.1:3"
`

// Guards against settings that change while a gateway drains and are not read, or a second request to
// stop that ends the drain early.
func TestSettingsAreWatchedWhileDraining(t *testing.T) {
	Convey("A settings file that changes during a drain is read on SIGHUP; SIGTERM has no effect", t, func() {
		path := filepath.Join(t.TempDir(), "settings.toml")
		So(os.WriteFile(path, []byte(settingsText), 0o600), ShouldBeNil)
		var out bytes.Buffer
		log := telemetry.NewLogger(&out, "info", "gateway", "g")
		g := gateway.New(gateway.Options{Host: "front-1", Bounds: gateway.DefaultBounds(), Log: log, Metrics: telemetry.NewRegistry()})
		watcher := &settingsWatcher{path: path, lastModified: modificationTime(path), gateway: g, log: log}
		signals := make(chan os.Signal)
		drained, ended := make(chan struct{}), make(chan struct{})
		go func() {
			watcher.awaitDrained(signals, drained)
			close(ended)
		}()
		signals <- syscall.SIGTERM
		signals <- syscall.SIGHUP
		signals <- syscall.SIGHUP
		close(drained)
		<-ended
		So(strings.Count(out.String(), "event=settings_reloaded"), ShouldEqual, 2)
	})
}
