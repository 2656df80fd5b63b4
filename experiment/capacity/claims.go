package capacity

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/infra"
)

const (
	// tableLatency is the duration of a table write.
	tableLatency = 5 * time.Millisecond
	// writesPerAction counts the rows written: the claim and its outcome.
	writesPerAction = 2
)

// costClaimWrites is the name of the number of table transactions per action.
const costClaimWrites = "transactions for an action"

// pendingCommit is a transaction in flight and the time of its commit.
type pendingCommit struct {
	at time.Time
	id string
}

// batchSimulation drives a batcher whose transactions commit after tableLatency.
type batchSimulation struct {
	batcher      *action.Batcher
	pending      []pendingCommit
	transactions int
}

// advanceTo processes all commits and transactions due until now.
func (g *batchSimulation) advanceTo(now time.Time) {
	for {
		at := g.nextEventAt()
		if at.IsZero() || at.After(now) {
			return
		}
		g.step(at)
	}
}

// nextEventAt returns the time of the next commit or transaction, or the zero
// time if there is none.
func (g *batchSimulation) nextEventAt() time.Time {
	at := g.batcher.WakeAt()
	if len(g.pending) > 0 && (at.IsZero() || g.pending[0].at.Before(at)) {
		at = g.pending[0].at
	}
	return at
}

func (g *batchSimulation) step(at time.Time) {
	for len(g.pending) > 0 && !at.Before(g.pending[0].at) {
		g.batcher.HandleResult(g.pending[0].id, infra.Commit{Applied: true}, nil)
		g.pending = g.pending[1:]
	}
	for tx, ok := g.batcher.Take(at); ok; tx, ok = g.batcher.Take(at) {
		g.transactions++
		g.pending = append(g.pending, pendingCommit{at.Add(tableLatency), tx.OperationID})
	}
}

// transactionsPerAction returns the mean number of transactions per action at an
// entry that receives rate actions a second. Claims and outcomes arrive at random
// times.
func transactionsPerAction(rate float64, seed uint64) float64 {
	const actions = 4_000
	random := rand.New(rand.NewPCG(seed, uint64(rate*1000)))
	g := &batchSimulation{batcher: action.NewBatcher(action.DefaultBatchLimits(), "b/")}
	now := startTime
	for i := range actions {
		now = now.Add(time.Duration(random.ExpFloat64() / (rate * writesPerAction) * float64(time.Second)))
		g.advanceTo(now)
		g.batcher.Add(now, action.BatchItem{ID: uint64(i), Write: infra.Write{Key: strconv.Itoa(i)}})
		g.step(now)
	}
	for g.batcher.Len() > 0 {
		g.step(g.nextEventAt())
	}
	return writesPerAction * float64(g.transactions) / actions
}

func measureClaims(c *costs, seed uint64) {
	s := series{role: roleEntry, name: costClaimWrites, unit: "transactions", sizeUnit: "actions/s at an entry", designSize: 1}
	c.addCounted(s, []int{1, 10, 100, 1_000, 4_000}, func(rate int) float64 { return transactionsPerAction(float64(rate), seed) })
}

// maxActionsPerSecond returns the maximum rate of actions that fits into the given
// transactions a second if the actions are spread evenly over writers entries.
func maxActionsPerSecond(writers int, transactions float64, seed uint64) float64 {
	const steps = 40
	low, high := 0.0, 200_000.0
	for range steps {
		middle := (low + high) / 2
		rate := middle / float64(writers)
		if rate*float64(writers)*transactionsPerAction(rate, seed) <= transactions {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// writeClaims prints the actions a second that the table supports in addition to
// otherWrites, by the number of entries that claim actions. otherWrites is the writes a
// second for leases and configuration changes.
func writeClaims(out io.Writer, otherWrites float64, seed uint64) error {
	budget := boundWritesPerSecond - otherWrites
	if _, err := fmt.Fprintf(out, "\nactions a second within %.0f table writes a second (%.1f of them for leases and changes), by entries that claim\n", boundWritesPerSecond, otherWrites); err != nil {
		return err
	}
	for _, writers := range []int{designEntries, 110, 16, 6, 2} {
		if _, err := fmt.Fprintf(out, "  %5d entries: %8.0f actions/s\n", writers, maxActionsPerSecond(writers, budget, seed)); err != nil {
			return err
		}
	}
	return nil
}
