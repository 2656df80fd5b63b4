package gateway

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/wigeonfork/wigeonfork/httpserver"
)

// BenchmarkEvent reads one event of a stream and writes it to a caller, without
// sockets.
func BenchmarkEvent(b *testing.B) {
	text := strings.Repeat("id: 1\ndata: 0123456789012345678901234567890123456789\n\n", 4096)
	recorder := httptest.NewRecorder()
	recorder.Body = nil
	out := httpserver.NewStreamWriter(recorder, callerWriteTimeout)
	var events *eventReader
	b.ReportAllocs()
	for b.Loop() {
		if events == nil {
			events = newEventReader(strings.NewReader(text), nil)
		}
		event, err := events.next()
		if err == io.EOF {
			events = nil
			continue
		}
		if _, err := out.Write(event.Raw); err != nil {
			b.Fatal(err)
		}
		if err := out.Flush(); err != nil {
			b.Fatal(err)
		}
	}
}
