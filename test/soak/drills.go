package main

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/deployment"
)

const (
	// maxDrills is the largest number of drills of a seed, in which the store comes back from an
	// older copy.
	maxDrills = 3
	// maxCopyAge, maxAway and maxOperatorDelay bound a drill.
	maxCopyAge       = 6 * time.Second
	maxAway          = 1500 * time.Millisecond
	maxOperatorDelay = 800 * time.Millisecond
)

// playDrills takes the store through drills at random times, and returns their number. They are
// drawn apart from the faults, so that these are the same as without drills.
func (s *system) playDrills(r *rand.Rand, length time.Duration) int {
	drills := r.IntN(maxDrills + 1)
	for range drills {
		time.Sleep(randomUpTo(r, length/maxDrills))
		drill := deployment.Drill{
			Away: randomUpTo(r, maxAway), CopyAge: randomUpTo(r, maxCopyAge), OperatorDelay: randomUpTo(r, maxOperatorDelay),
		}
		s.nodeFaults.during(nil, func() { s.Restore(drill) })
	}
	return drills
}

func randomUpTo(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d)))
}
