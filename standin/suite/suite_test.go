package suite

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/infra/httpinfra"
	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/standin/objects"
	"github.com/wigeonfork/wigeonfork/standin/service"
	"go.uber.org/goleak"
)

const testTimeout = 20 * time.Second

func TestSuite(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Given a suite with two engines and a service", t, func() {
		s, err := Start(Options{Engines: []engine.Options{{}, {}}, Services: 1})
		So(err, ShouldBeNil)
		Reset(s.Close)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		Reset(cancel)
		client := httpbackend.NewEngine(httpbackend.Options{Address: s.Engines[0].Addr()})
		Reset(client.Close)

		Convey("two engines that load a version from the weight store share its rate", func() {
			const size = 64 << 10
			s.Weights.Set("m", "v2", size)
			order := backend.Order{Kind: backend.OrderLoad, Scope: "d", Fencing: 1, Model: "m", Version: "v2"}
			req := backend.GenerateRequest{StreamID: "s", Model: "m", Version: "v2", Prompt: "p"}
			_, err := client.Generate(ctx, req)
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeNotDone)
			second := httpbackend.NewEngine(httpbackend.Options{Address: s.Engines[1].Addr()})
			Reset(second.Close)
			s.Weights.SetRate(4 * size)
			start := time.Now()
			for _, e := range []*httpbackend.Engine{client, second} {
				So(e.Order(ctx, order), ShouldBeNil)
			}
			for _, e := range []*httpbackend.Engine{client, second} {
				So(waitReady(ctx, e), ShouldBeNil)
			}
			So(s.Weights.BytesRead(), ShouldEqual, 2*size)
			// All bytes beyond the limiter's burst are sent at the shared rate.
			So(time.Since(start), ShouldBeGreaterThan, 400*time.Millisecond)
			stream, err := client.Generate(ctx, req)
			So(err, ShouldBeNil)
			So(stream.Close(), ShouldBeNil)
			order.Kind = backend.OrderUnload
			So(client.Order(ctx, order), ShouldBeNil)
			req.StreamID = "s2"
			_, err = client.Generate(ctx, req)
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeNotDone)
		})
		Convey("a version missing from the weight store never becomes ready", func() {
			s.Engines[0].Update(func(o *engine.Options) { o.WeightsAddress = s.WeightsServer.Addr() })
			So(client.Order(ctx, backend.Order{Kind: backend.OrderLoad, Model: "m", Version: "none"}), ShouldBeNil)
			for {
				load, err := client.Load(ctx)
				So(err, ShouldBeNil)
				if len(load.Versions) == 0 {
					break
				}
				So(load.Versions[0].Ready, ShouldBeFalse)
			}
		})
		Convey("cancelled calls to slow services leak no goroutines", func() {
			s.Table.SetDelay(time.Hour)
			s.Objects.Update(func(f *objects.Faults) { f.Delay = time.Hour })
			s.Services[0].Update(func(f *service.Faults) { f.Delay = time.Hour })
			table := httpinfra.NewTable(httpinfra.Options{Address: s.TableServer.Addr()})
			store := httpinfra.NewObjects(httpinfra.Options{Address: s.ObjectsServer.Addr()})
			plain := httpbackend.NewService(httpbackend.ServiceOptions{Address: s.ServiceServers[0].Addr()})
			failed := make(chan error)
			go func() {
				_, err := table.Commit(cancelOnceSent(ctx), infra.Transaction{OperationID: "o"})
				failed <- err
			}()
			go func() { failed <- store.Put(cancelOnceSent(ctx), "n", []byte("x")) }()
			go func() {
				_, err := plain.Call(cancelOnceSent(ctx), backend.Call{Method: http.MethodPost, Path: "/"})
				failed <- err
			}()
			for range 3 {
				So(infra.OutcomeOf(<-failed), ShouldEqual, infra.OutcomeUnknown)
			}
		})
		Convey("an engine killed while paused with open streams leaks no goroutines and serves after a restart", func() {
			s.Engines[0].Update(func(o *engine.Options) {
				o.AnyVersion = true
				o.TokensPerSecond = 10
				o.BufferFor = time.Hour
			})
			stream, err := client.Generate(ctx, backend.GenerateRequest{StreamID: "s", Prompt: "p"})
			So(err, ShouldBeNil)
			s.Engines[0].Pause()
			s.Engines[0].Kill()
			for err == nil {
				_, err = stream.Next(ctx)
			}
			So(ctx.Err(), ShouldBeNil)
			So(stream.Close(), ShouldBeNil)
			_, err = net.Dial("tcp", s.Engines[0].Addr())
			So(err, ShouldNotBeNil)
			So(s.Engines[0].Restart(), ShouldBeNil)
			s.Engines[0].Update(func(o *engine.Options) { o.TokensPerSecond = 0 })
			stream, err = client.Generate(ctx, backend.GenerateRequest{StreamID: "s", Prompt: "p"})
			So(err, ShouldBeNil)
			_, err = stream.Next(ctx)
			So(err, ShouldBeNil)
			So(stream.Close(), ShouldBeNil)
		})
	})
}

// cancelOnceSent returns a context that is cancelled once a request that uses it was sent.
func cancelOnceSent(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { cancel() },
	})
}

func waitReady(ctx context.Context, e *httpbackend.Engine) error {
	for {
		load, err := e.Load(ctx)
		if err != nil {
			return err
		}
		if len(load.Versions) == 1 && load.Versions[0].Ready {
			return nil
		}
	}
}
