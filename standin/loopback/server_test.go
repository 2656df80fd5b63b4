package loopback

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

func TestServer(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Given a server", t, func() {
		s, err := Start("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "here")
		}))
		So(err, ShouldBeNil)
		Reset(s.Close)
		transport := &http.Transport{DisableKeepAlives: true}
		get := func() error {
			req, err := http.NewRequest(http.MethodGet, s.URL(), nil)
			So(err, ShouldBeNil)
			resp, err := transport.RoundTrip(req)
			if err != nil {
				return err
			}
			return resp.Body.Close()
		}

		Convey("Kill resets idle connections and refuses new ones, and Restart uses the same port", func() {
			conn, err := net.Dial("tcp", s.Addr())
			So(err, ShouldBeNil)
			Reset(func() { _ = conn.Close() })
			So(get(), ShouldBeNil)
			s.Kill()
			_, err = conn.Read(make([]byte, 1))
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
			So(errors.Is(get(), syscall.ECONNREFUSED), ShouldBeTrue)
			So(s.Restart(), ShouldBeNil)
			So(get(), ShouldBeNil)
		})
		Convey("a closed server can't be restarted", func() {
			s.Close()
			So(s.Restart(), ShouldNotBeNil)
			So(errors.Is(get(), syscall.ECONNREFUSED), ShouldBeTrue)
		})
		Convey("the server still serves after concurrent kills, restarts and pauses", func() {
			var workers sync.WaitGroup
			for i := range 6 {
				workers.Add(1)
				go func() {
					defer workers.Done()
					for range 20 {
						s.Kill()
						if err := s.Restart(); err != nil {
							t.Error(i, err)
						}
						s.Pause()
						s.Continue()
					}
				}()
			}
			workers.Wait()
			So(get(), ShouldBeNil)
		})
	})
}
