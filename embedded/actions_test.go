package embedded

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/standin/service"
)

func startServices(t *testing.T, entries int) *System {
	system, err := Start(Options{Entries: entries, Services: 2})
	if err != nil {
		t.Fatal(err)
	}
	return system
}

// sendAction sends one action and returns its status and body, or the typed error.
func sendAction(address, key, body string) (int, string, *problem.Error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/actions/register/certificates", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("X-Workspace", string(Workspace))
	// net/http resends a request that has an Idempotency-Key if GetBody can rewind its body. The
	// test must send each request once.
	request.Header.Set("Idempotency-Key", key)
	request.GetBody = nil
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", problem.From(err, problem.StepAccept)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", problem.From(err, problem.StepAccept)
	}
	return response.StatusCode, string(text), problem.Unmarshal(text)
}

// executions returns the number of calls that the services have executed. It prints them if there are more than one, which
// no case expects.
func executions(s *System) int {
	var all []service.Execution
	for _, plain := range s.Standins.Services {
		all = append(all, plain.Executions()...)
	}
	if len(all) > 1 {
		for _, e := range all {
			fmt.Printf("executed: %s %s, claim %q, %d bytes, at %v\n", e.Method, e.Path, e.ClaimID, len(e.Body), e.At)
		}
	}
	return len(all)
}

func newKey() string {
	key, err := action.NewKey(time.Now())
	if err != nil {
		panic(err)
	}
	return string(key)
}

func TestActionsRunOnce(t *testing.T) {
	Convey("Given two entries before two plain services", t, func() {
		system := startServices(t, 2)
		defer system.Close()
		first, second := system.Entries[0].Address, system.Entries[1].Address
		Convey("a resend through another entry gets the recorded reply", func() {
			key := newKey()
			status, body, typed := sendAction(first, key, "ridge")
			So(typed, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
			_, again, typed := sendAction(second, key, "ridge")
			So(typed, ShouldBeNil)
			So(again, ShouldEqual, body)
			So(executions(system), ShouldEqual, 1)
		})
		Convey("the same key with another body is refused", func() {
			key := newKey()
			_, _, typed := sendAction(first, key, "ridge")
			So(typed, ShouldBeNil)
			_, _, typed = sendAction(first, key, "other ridge")
			So(typed, ShouldNotBeNil)
			So(typed.Code, ShouldEqual, problem.CodeKeyReused)
			So(executions(system), ShouldEqual, 1)
		})
		Convey("concurrent resends through both entries execute one call", func() {
			key := newKey()
			var wait sync.WaitGroup
			for i := range 10 {
				wait.Add(1)
				go func() {
					defer wait.Done()
					sendAction([]string{first, second}[i%2], key, "ridge")
				}()
			}
			wait.Wait()
			So(executions(system), ShouldEqual, 1)
		})
		Convey("a missing or malformed key is refused as not run", func() {
			for _, key := range []string{"", "not-a-key", strings.Repeat("x", 4096)} {
				_, _, typed := sendAction(first, key, "ridge")
				So(typed, ShouldNotBeNil)
				So(typed.Run, ShouldEqual, problem.RunNot)
			}
			So(executions(system), ShouldEqual, 0)
		})
		Convey("while the table is down, a call is refused and not executed", func() {
			system.Standins.Table.SetDown(true)
			_, _, typed := sendAction(first, newKey(), "ridge")
			So(typed, ShouldNotBeNil)
			So(typed.Code, ShouldEqual, problem.CodeStoreUnavailable)
			So(typed.RetryAfter, ShouldBeGreaterThan, 0)
			So(executions(system), ShouldEqual, 0)
		})
		Convey("a call whose response from the service was lost is not executed again", func() {
			for _, plain := range system.Standins.Services {
				plain.Update(func(f *service.Faults) { f.DropNextResponses = 1 })
			}
			key := newKey()
			_, _, typed := sendAction(first, key, "ridge")
			So(typed, ShouldNotBeNil)
			So(typed.Code, ShouldEqual, problem.CodeOutcomeUnknown)
			_, _, typed = sendAction(second, key, "ridge")
			So(typed, ShouldNotBeNil)
			So(typed.Code, ShouldEqual, problem.CodeOutcomeUnknown)
			So(executions(system), ShouldEqual, 1)
		})
	})
}
