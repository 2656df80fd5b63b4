package retry

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// Backoff gives the delays between attempts: they double and are spread evenly
// over the upper half, so that processes that failed together do not come back
// together.
type Backoff struct {
	random *rand.Rand
	least  time.Duration
	most   time.Duration
}

// NewBackoff returns a Backoff between two delays.
func NewBackoff(seed uint64, least, most time.Duration) *Backoff {
	return &Backoff{random: rand.New(rand.NewPCG(seed, 0xa0761d6478bd642f)), least: least, most: most}
}

// After returns the delay before attempt n; the first repetition is 1.
func (b *Backoff) After(n int) time.Duration {
	delay := b.least
	for range n - 1 {
		if delay >= b.most {
			break
		}
		delay *= 2
	}
	return b.Spread(min(delay, b.most))
}

// Spread returns a random delay between a half and one and a half of d, within
// the bounds.
func (b *Backoff) Spread(d time.Duration) time.Duration {
	d = min(max(d, b.least), b.most)
	return d/2 + time.Duration(b.random.Float64()*float64(d))
}

// Ramp limits the rate of work after an outage: it starts low and doubles each
// period until the limit no longer binds. While nothing has failed it limits
// nothing.
type Ramp struct {
	first   rate.Limit
	ceiling rate.Limit
	period  time.Duration
	limiter *rate.Limiter
	began   time.Time
	down    bool
}

// NewRamp returns a Ramp from first to ceiling, both in events per second.
func NewRamp(first, ceiling float64, period time.Duration) *Ramp {
	return &Ramp{
		first: rate.Limit(first), ceiling: rate.Limit(ceiling), period: period,
		limiter: rate.NewLimiter(rate.Inf, 1),
	}
}

// Lost records the beginning of an outage, during which nothing is allowed.
func (r *Ramp) Lost() { r.down = true }

// Restored records the end of an outage.
func (r *Ramp) Restored(now time.Time) {
	if !r.down {
		return
	}
	r.down, r.began = false, now
	r.limiter = rate.NewLimiter(r.first, 1)
}

// Allow tells whether one more event may happen now.
func (r *Ramp) Allow(now time.Time) bool {
	if r.down {
		return false
	}
	r.grow(now)
	return r.limiter.AllowN(now, 1)
}

func (r *Ramp) grow(now time.Time) {
	if r.limiter.Limit() == rate.Inf {
		return
	}
	limit := r.first
	for passed := now.Sub(r.began); passed >= r.period && limit < r.ceiling; passed -= r.period {
		limit *= 2
	}
	if limit >= r.ceiling {
		limit = rate.Inf
	}
	if limit != r.limiter.Limit() {
		r.limiter.SetLimitAt(now, limit)
	}
}
