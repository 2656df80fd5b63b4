package telemetry

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLogLinesAreKeyValuePairs(t *testing.T) {
	Convey("An event is one line of key=value pairs", t, func() {
		var out bytes.Buffer
		NewLogger(&out, "info", "entry", "e1").Info().Str("reason", "two words").Bool("whole", true).Int("tokens", 3).Msg("served")
		line := out.String()
		So(strings.Count(line, "\n"), ShouldEqual, 1)
		So(line, ShouldContainSubstring, "role=entry")
		So(line, ShouldContainSubstring, "event=served")
		So(line, ShouldContainSubstring, `reason="two words" whole=true tokens=3`)
	})
}

func TestMetricsAreExposedAsText(t *testing.T) {
	Convey("Counters and histograms are listed by name", t, func() {
		r := NewRegistry()
		Counter(r, "relay.tokens").Inc(5)
		Counter(r, "gate.refused_queue full").Inc(1)
		Histogram(r, "resume.ms").Update(40)
		recorder := httptest.NewRecorder()
		MetricsHandler(r).ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
		So(recorder.Body.String(), ShouldContainSubstring, "wigeonfork_relay_tokens 5\n")
		So(recorder.Body.String(), ShouldContainSubstring, "wigeonfork_gate_refused_queue_full 1\n")
		So(recorder.Body.String(), ShouldContainSubstring, "wigeonfork_resume_ms_count 1\n")
	})
}
