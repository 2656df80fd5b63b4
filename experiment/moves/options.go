// Package moves measures how well version moves are evaluated and driven. It
// feeds seeded streams of samples in virtual time to the types of package
// rollout, and to two baselines, and compares the figures with the targets.
package moves

import (
	"io"
	"runtime"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Options sets what is run.
type Options struct {
	// Seed makes the run repeatable.
	Seed uint64
	// Quick runs few moves, too few to evaluate the targets.
	Quick bool
	// Moves is the number of moves of each kind; 0 means DefaultMoves.
	Moves int
	// CSV, if set, receives one line for each kind and policy.
	CSV io.Writer
}

const (
	// DefaultMoves is the number of moves of each kind.
	DefaultMoves = 200
	quickMoves   = 8
	maxWorkers   = 4
)

// ErrTargetMissed is returned by Run if a target is missed.
var ErrTargetMissed = errors.New("a target is missed")

// Run runs the moves of each kind under each policy and prints the figures
// beside their targets. It fails with ErrTargetMissed if one is missed.
func Run(w io.Writer, o Options) error {
	o = o.withDefaults()
	began := time.Now()
	results := runAll(o)
	r := report{w: w, csv: o.CSV, options: o, results: results}
	return r.print(time.Since(began))
}

func (o Options) withDefaults() Options {
	if o.Moves == 0 {
		o.Moves = DefaultMoves
		if o.Quick {
			o.Moves = quickMoves
		}
	}
	return o
}

// resultKey identifies one line of the table.
type resultKey struct {
	kind   kind
	policy policy
}

type job struct {
	key   resultKey
	index int
}

// runAll runs every move in a pool of workers. The result of a move depends only on
// the seed, its kind, its policy and its index.
func runAll(o Options) map[resultKey]*totals {
	jobs := make(chan job)
	results := make(map[resultKey]*totals)
	var mu sync.Mutex
	var workers sync.WaitGroup
	for range min(maxWorkers, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for j := range jobs {
				result := runMove(o.Seed, j.key, j.index)
				mu.Lock()
				totalsOf(results, j.key).add(result)
				mu.Unlock()
			}
		})
	}
	for _, k := range allKinds {
		for _, p := range allPolicies {
			for i := range o.Moves {
				jobs <- job{resultKey{k, p}, i}
			}
		}
	}
	close(jobs)
	workers.Wait()
	return results
}

func totalsOf(results map[resultKey]*totals, key resultKey) *totals {
	t := results[key]
	if t == nil {
		t = &totals{}
		results[key] = t
	}
	return t
}
