package routing

import "time"

// Health is the result of Watch.Check.
type Health uint8

// The health values, in order of severity.
const (
	HealthGood Health = iota
	// HealthSlow: tokens arrive at a fraction of the expected rate.
	HealthSlow
	// HealthStalled: no token has arrived within Watch.Timeout.
	HealthStalled
)

// String returns the name of h.
func (h Health) String() string {
	switch h {
	case HealthSlow:
		return "slow"
	case HealthStalled:
		return "silent"
	default:
		return "good"
	}
}

const (
	stallGaps            = 12 // stall timeout in expected inter-token times
	minStallTimeout      = 300 * time.Millisecond
	maxStallTimeout      = 900 * time.Millisecond
	firstTokenWaits      = 4 // first-token timeout in expected waits
	minFirstTokenTimeout = time.Second
	slowWindow           = time.Second // shortest window over which the rate is evaluated
	slowFactor           = 4           // times slower than expected
	minExpectedGap       = 15 * time.Millisecond
)

// Watch follows the tokens of one stream from one backend server and detects
// when the stream is slow or has stalled. The zero Watch is not usable.
type Watch struct {
	gap               time.Duration // expected inter-token time
	firstTokenTimeout time.Duration // timeout for the first token
	lastTokenAt       time.Time
	started           bool
	windowAt          time.Time // start of the current slowWindow
	tokens            int       // tokens since windowAt
}

// NewWatch returns a Watch for a stream that is sent now. gap is the expected
// inter-token time and wait the expected time to the first token.
func NewWatch(now time.Time, gap, wait time.Duration) Watch {
	return Watch{
		gap:               max(gap, minExpectedGap),
		firstTokenTimeout: max(minFirstTokenTimeout, firstTokenWaits*wait),
		lastTokenAt:       now,
	}
}

// Tokens records the arrival of n tokens.
func (w *Watch) Tokens(now time.Time, n int) {
	if n <= 0 {
		return
	}
	if !w.started {
		w.started = true
		w.windowAt, w.tokens = now, 0
	} else {
		w.tokens += n
	}
	w.lastTokenAt = now
}

// Started reports whether the first token has arrived.
func (w *Watch) Started() bool { return w.started }

// Extend restarts the timeout, as if a token had arrived.
func (w *Watch) Extend(now time.Time) { w.lastTokenAt = now }

// LowerExpectedGap lowers the expected inter-token time to gap, as measured on
// the stream. A higher value has no effect.
func (w *Watch) LowerExpectedGap(gap time.Duration) { w.gap = max(min(w.gap, gap), minExpectedGap) }

// Timeout returns the time without a token after which the stream is stalled.
func (w *Watch) Timeout() time.Duration {
	if !w.started {
		return w.firstTokenTimeout
	}
	return min(max(minStallTimeout, stallGaps*w.gap), maxStallTimeout)
}

// NextCheck returns the earliest time at which Check can find the stream stalled.
func (w *Watch) NextCheck() time.Time { return w.lastTokenAt.Add(w.Timeout()) }

// Check returns the health of the stream. Slowness is evaluated over windows of
// at least slowWindow.
func (w *Watch) Check(now time.Time) Health {
	if now.Sub(w.lastTokenAt) >= w.Timeout() {
		return HealthStalled
	}
	if !w.started {
		return HealthGood
	}
	window := now.Sub(w.windowAt)
	if window < slowWindow {
		return HealthGood
	}
	expected := int(window / (slowFactor * w.gap))
	slow := w.tokens < expected
	w.windowAt, w.tokens = now, 0
	if slow {
		return HealthSlow
	}
	return HealthGood
}
