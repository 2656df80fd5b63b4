package telemetry

import (
	"io"
	"testing"
)

// BenchmarkLine measures one request_ended line.
func BenchmarkLine(b *testing.B) {
	logger := NewBoundedLogger(io.Discard, "info", "gateway", "front-1")
	b.ReportAllocs()
	for b.Loop() {
		logger.Info().Str("request", "0123456789abcdef").Str("route", "r-1234567").Str("kind", "stream").Str("workspace", "tenant12").
			Str("outcome", "answered").Int("status", 200).Str("server", "i-0123456789").Int("sends", 1).Int64("ms", 4312).
			Uint64("from_event", 0).Int64("first_ms", 812).Int64("gap_ms", 44).Msg("request_ended")
	}
}
