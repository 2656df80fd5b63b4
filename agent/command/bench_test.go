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

// discard is a response that takes all and keeps nothing.
type discard struct{ header http.Header }

func (d discard) Header() http.Header                { return d.header }
func (d discard) Write(data []byte) (int, error)     { return len(data), nil }
func (d discard) WriteHeader(int)                    {}
func (d discard) Flush()                             {}
func (d discard) SetWriteDeadline(t time.Time) error { return nil }

// attached returns a session that one reader is attached to.
func attached() *session.Session {
	s := session.New(&agentapi.Generate{Generation: 1}, time.Now(), func() {})
	r := newReader(discard{http.Header{}}, s, 0, noLoad, writeTimeout)
	r.number = s.Attach(r.wake, r.push)
	return s
}

// maxAllocations is the bound on the allocations of one sent token: those of a
// growing log, shared by many tokens.
const maxAllocations = 0.1

func TestSendingATokenAllocatesNothing(t *testing.T) {
	Convey("Taking a token of the engine and writing its frame allocate next to nothing", t, func() {
		const tokens = 2000
		s := attached()
		chunk := backend.Chunk{Tokens: []backend.Token{{ID: 7, Text: []byte(" the")}}}
		whole := s.Append(chunk)
		allocations := testing.AllocsPerRun(1, func() {
			for range tokens {
				chunk.Position = s.Len()
				whole = s.Append(chunk) && whole
			}
		})
		So(whole, ShouldBeTrue)
		So(allocations/tokens, ShouldBeLessThan, maxAllocations)
	})
}

func BenchmarkSendToken(b *testing.B) {
	s := attached()
	chunk := backend.Chunk{Tokens: []backend.Token{{ID: 7, Text: []byte(" the")}}}
	b.ReportAllocs()
	for p := range b.N {
		chunk.Position = wigeonfork.Position(p)
		if !s.Append(chunk) {
			b.Fatal("token lost")
		}
	}
}
