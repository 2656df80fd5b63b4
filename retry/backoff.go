package retry

import (
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 100 * time.Millisecond // of the retry-after times of Budgets
	maxBackoff = 30 * time.Second
)

// Backoff computes the delays between attempts. The delay doubles with each retry
// up to a maximum. It is then spread uniformly between half and one and a half of
// its value, so that processes that failed together do not retry together.
type Backoff struct {
	random   *rand.Rand
	minDelay time.Duration
	maxDelay time.Duration
}

// NewBackoff returns a Backoff whose delays, before the spread, are within
// minDelay and maxDelay.
func NewBackoff(seed uint64, minDelay, maxDelay time.Duration) *Backoff {
	return &Backoff{random: rand.New(rand.NewPCG(seed, 0xa0761d6478bd642f)), minDelay: minDelay, maxDelay: maxDelay}
}

// After returns the delay before retry n; the first retry is 1.
func (b *Backoff) After(n int) time.Duration {
	delay := b.minDelay
	for range n - 1 {
		if delay >= b.maxDelay {
			break
		}
		delay *= 2
	}
	return b.Spread(min(delay, b.maxDelay))
}

// Spread limits d to the bounds and returns a random delay between half and one
// and a half of the result.
func (b *Backoff) Spread(d time.Duration) time.Duration {
	d = min(max(d, b.minDelay), b.maxDelay)
	return d/2 + time.Duration(b.random.Float64()*float64(d))
}
