package httpbackend

import (
	"strings"
	"testing"
)

// benchmarkTokens is the number of tokens of the benchmark's stream.
const benchmarkTokens = 1000

func BenchmarkDecodeToken(b *testing.B) {
	text := strings.Repeat("data: {\"position\":0,\"tokens\":[{\"id\":1234,\"text\":\"IHRoZQ==\"}]}\n\n", benchmarkTokens)
	b.ReportAllocs()
	for n := 0; n < b.N; {
		d := newDecoder(strings.NewReader(text), defaultMaxEventBytes)
		for i := 0; i < benchmarkTokens && n < b.N; i++ {
			if _, err := d.next(); err != nil {
				b.Fatal(err)
			}
			n++
		}
	}
}
