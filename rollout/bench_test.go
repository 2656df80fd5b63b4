package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// BenchmarkCollector counts one request, at the sizes of an entry's subset of
// backend servers.
func BenchmarkCollector(b *testing.B) {
	for _, servers := range []int{25, 100, 200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			starts := make([]Start, 0, servers*2)
			for i := range servers {
				starts = append(starts, testServerStart("v1", Route(fmt.Sprintf("r%d", i%33)), i))
				starts = append(starts, testServerStart("v2", Route(fmt.Sprintf("r%d", i%33)), i))
			}
			c := NewCollector("e1", testVersions)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				s := starts[i%len(starts)]
				now := testStart.Add(time.Duration(i) * 6 * time.Millisecond)
				c.Started(now, s)
				c.Observed(now, Sample{Start: s, FirstToken: time.Second, InterToken: time.Millisecond})
				if i%163 == 0 {
					c.Flush(now)
				}
				i++
			}
		})
	}
}

// BenchmarkJudge merges one entry's report. Every 1000 reports it computes a verdict.
func BenchmarkJudge(b *testing.B) {
	for _, routes := range []int{10, 33, 100} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			e := Evidence{}
			for r := range routes {
				e.Increments = append(e.Increments, Increment{
					Criterion: CriterionInterToken, Route: Route(fmt.Sprintf("r%d", r)), Totals: Totals{OldBad: 1, OldTotal: 9, NewTotal: 1},
				})
			}
			e.Uses = []ServerUse{{Server: wigeonfork.BackendServerID("b1"), Old: true}}
			j := NewJudge(JudgeConfig{})
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				e.Source = fmt.Sprintf("e%d", i%1100)
				e.Sequence = uint64(i)
				j.Merge(testStart.Add(time.Duration(i)*time.Millisecond), e)
				if i%1000 == 0 {
					j.Verdict()
				}
				i++
			}
		})
	}
}

// BenchmarkTrafficSplitter chooses a version for one request.
func BenchmarkTrafficSplitter(b *testing.B) {
	splitter := NewTrafficSplitter("m", testVersions)
	splitter.Apply(Shares{Move: "m", Fencing: 1, Sequence: 1, Old: "v1", New: "v2", NewShare: DefaultCanaryShare})
	b.ReportAllocs()
	for b.Loop() {
		splitter.Choose("r")
	}
}
