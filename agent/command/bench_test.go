package command

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agent/session"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
)

// discardResponse is a response writer that discards all data.
type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header                { return d.header }
func (d discardResponse) Write(data []byte) (int, error)     { return len(data), nil }
func (d discardResponse) WriteHeader(int)                    {}
func (d discardResponse) Flush()                             {}
func (d discardResponse) SetWriteDeadline(t time.Time) error { return nil }

// attachedSession returns a session with one attached reader.
func attachedSession() *session.Session {
	s := session.New(&agentapi.Generate{Generation: 1}, time.Now(), func() {})
	r := newReader(discardResponse{http.Header{}}, s, 0, noLoad, writeTimeout)
	r.number = s.Attach(r.wake, r.push)
	return s
}

// maxAllocationsPerToken allows for the growth of the log, whose allocations are
// shared by many tokens.
const maxAllocationsPerToken = 0.1

func TestSendTokenAllocations(t *testing.T) {
	Convey("Appending a token of the engine and writing its frame allocate only for the log's growth", t, func() {
		const tokens = 2000
		s := attachedSession()
		chunk := backend.Chunk{Tokens: []backend.Token{{ID: 7, Text: []byte(" the")}}}
		appended := s.Append(chunk)
		allocations := testing.AllocsPerRun(1, func() {
			for range tokens {
				chunk.Position = s.Len()
				appended = s.Append(chunk) && appended
			}
		})
		So(appended, ShouldBeTrue)
		So(allocations/tokens, ShouldBeLessThan, maxAllocationsPerToken)
	})
}

func BenchmarkSendToken(b *testing.B) {
	s := attachedSession()
	chunk := backend.Chunk{Tokens: []backend.Token{{ID: 7, Text: []byte(" the")}}}
	b.ReportAllocs()
	for p := range b.N {
		chunk.Position = wigeonfork.Position(p)
		if !s.Append(chunk) {
			b.Fatal("token was not appended")
		}
	}
}
