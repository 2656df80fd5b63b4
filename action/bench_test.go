package action

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
)

// BenchmarkCoordinator runs one request without faults: claim, dispatch, record.
func BenchmarkCoordinator(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	key, err := NewKey(now)
	if err != nil {
		b.Fatal(err)
	}
	for _, size := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			request := Request{Workspace: "w", Key: string(key), Deadline: now.Add(time.Minute),
				Call: backend.Call{Method: "POST", Path: "/pay", Body: make([]byte, size)}}
			b.ReportAllocs()
			for b.Loop() {
				c := NewCoordinator(DefaultLimits(), request, "0b9c7f7e-0000-4000-8000-000000000000")
				c.Start(now)
				c.Handle(now, CommandResult{Commit: infra.Commit{Applied: true, Revision: 1}})
				c.Handle(now, CommandResult{Reply: backend.Reply{Status: 200, Body: request.Call.Body}})
				c.Handle(now, CommandResult{Commit: infra.Commit{Applied: true, Revision: 2}})
				if !c.Ended() {
					b.Fatal("not ended")
				}
			}
		})
	}
}

// BenchmarkGroupCommit measures the table writes per action at several request rates. It runs
// in virtual time, with a table whose commits take 5 ms.
func BenchmarkGroupCommit(b *testing.B) {
	for _, rate := range []int{10, 100, 1_000, 10_000} {
		for _, items := range []int{1, 64} {
			b.Run(fmt.Sprintf("rate=%d/items=%d", rate, items), func(b *testing.B) {
				const seconds = 2
				writes := 0
				for b.Loop() {
					writes = batchedWrites(2*rate*seconds, time.Second/time.Duration(2*rate), items)
				}
				b.ReportMetric(float64(writes)/float64(rate*seconds), "writes/action")
				b.ReportMetric(float64(writes)/seconds, "writes/s")
			})
		}
	}
}

// batchedWrites returns the number of transactions for n writes that arrive at intervals of
// gap.
func batchedWrites(n int, gap time.Duration, items int) int {
	const latency = 5 * time.Millisecond
	limits := DefaultBatchLimits()
	limits.MaxItems = items
	limits.MaxInFlight = 1 << 20
	batcher := NewBatcher(limits, "b/")
	now := time.Unix(0, 0)
	type answer struct {
		at time.Time
		id string
	}
	var answers []answer
	writes := 0
	take := func(at time.Time) {
		for tx, ok := batcher.Take(at); ok; tx, ok = batcher.Take(at) {
			writes++
			answers = append(answers, answer{at.Add(latency), tx.OperationID})
		}
	}
	for i := 0; i < n || batcher.Len() > 0; i++ {
		now = now.Add(gap)
		for at := batcher.WakeAt(); !at.IsZero() && at.Before(now); at = batcher.WakeAt() {
			take(at)
		}
		if i < n {
			batcher.Add(now, BatchItem{ID: uint64(i), Write: infra.Write{Key: fmt.Sprint(i)}})
		}
		for len(answers) > 0 && !now.Before(answers[0].at) {
			batcher.HandleResult(answers[0].id, infra.Commit{Applied: true}, nil)
			answers = answers[1:]
		}
		take(now)
	}
	return writes
}
