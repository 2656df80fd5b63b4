package table

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/loopback"
	"golang.org/x/time/rate"
)

// SetDown makes every call fail as not done until it is called with false.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// SetDelay makes every call take at least delay.
func (t *Table) SetDelay(delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay = delay
}

// DropNextResponses makes the next n commits take effect without a response.
func (t *Table) DropNextResponses(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropNextResponses = n
}

// SetLimits limits the commits and the reads per second; 0 means no limit. Calls over
// the limit fail as not done.
func (t *Table) SetLimits(writes, reads float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writeLimit = newLimit(writes)
	t.readLimit = newLimit(reads)
}

// Counters returns the counts since the table was created.
func (t *Table) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counters
}

func newLimit(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// begin counts a call and applies the faults and limits that delay or refuse it.
func (t *Table) begin(ctx context.Context, operation string, writes bool) error {
	delay, err := t.admit(operation, writes)
	if err != nil {
		return err
	}
	if !loopback.Sleep(ctx, delay) {
		return refuse(operation, ctx.Err())
	}
	return nil
}

func (t *Table) admit(operation string, writes bool) (time.Duration, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.readLimit
	if writes {
		limit = t.writeLimit
	}
	if t.down {
		t.counters.Refused++
		return 0, refuse(operation, ErrDown)
	}
	if limit != nil && !limit.Allow() {
		t.counters.Refused++
		return 0, refuse(operation, ErrRateLimited)
	}
	if writes {
		t.counters.Writes++
	} else {
		t.counters.Reads++
	}
	return t.delay, nil
}
