package retry

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
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

// Ramp limits the rate of work after an outage. The limit starts low and doubles
// each period until it reaches a ceiling, where it is removed. There is no limit
// before the first outage.
type Ramp struct {
	initial    rate.Limit
	ceiling    rate.Limit
	period     time.Duration
	limiter    *rate.Limiter
	restoredAt time.Time
	inOutage   bool
}

// NewRamp returns a Ramp from initial to ceiling, both in events per second, that
// doubles the limit each period.
func NewRamp(initial, ceiling float64, period time.Duration) *Ramp {
	return &Ramp{
		initial: rate.Limit(initial), ceiling: rate.Limit(ceiling), period: period,
		limiter: rate.NewLimiter(rate.Inf, 1),
	}
}

// BeginOutage records the start of an outage, during which nothing is allowed.
func (r *Ramp) BeginOutage() { r.inOutage = true }

// EndOutage records the end of an outage.
func (r *Ramp) EndOutage(now time.Time) {
	if !r.inOutage {
		return
	}
	r.inOutage, r.restoredAt = false, now
	r.limiter = rate.NewLimiter(r.initial, 1)
}

// Allow reports whether one more event is allowed now.
func (r *Ramp) Allow(now time.Time) bool {
	if r.inOutage {
		return false
	}
	r.raiseLimit(now)
	return r.limiter.AllowN(now, 1)
}

func (r *Ramp) raiseLimit(now time.Time) {
	if r.limiter.Limit() == rate.Inf {
		return
	}
	limit := r.initial
	for passed := now.Sub(r.restoredAt); passed >= r.period && limit < r.ceiling; passed -= r.period {
		limit *= 2
	}
	if limit >= r.ceiling {
		limit = rate.Inf
	}
	if limit != r.limiter.Limit() {
		r.limiter.SetLimitAt(now, limit)
	}
}
