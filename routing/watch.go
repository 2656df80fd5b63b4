package routing

import "time"

// Health is what a Watch finds of a stream.
type Health uint8

// The findings, from the least grave.
const (
	HealthGood Health = iota
	// HealthSlow: tokens come at a fraction of the expected rate.
	HealthSlow
	// HealthStalled: no token has come for far too long.
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
	stallGaps            = 12 // expected inter-token times without a token
	minStallTimeout      = 300 * time.Millisecond
	maxStallTimeout      = 900 * time.Millisecond
	firstTokenWaits      = 4 // expected waits for the first token
	minFirstTokenTimeout = time.Second
	slowWindow           = time.Second
	slowFactor           = 4 // times slower than expected
	slowMinGap           = 15 * time.Millisecond
)

// Watch follows the tokens of one stream from one backend server and tells
// when it has stalled. It is a small value to be held beside the stream; the
// zero Watch is not usable.
type Watch struct {
	gap               time.Duration // expected inter-token time
	firstTokenTimeout time.Duration // time allowed for the first token
	lastTokenAt       time.Time
	started           bool
	windowAt          time.Time
	tokens            int
}

// NewWatch returns a Watch for a stream that was sent off now, with the
// expected inter-token time and the expected wait for the first token.
func NewWatch(now time.Time, gap, wait time.Duration) Watch {
	return Watch{
		gap:               max(gap, slowMinGap),
		firstTokenTimeout: max(minFirstTokenTimeout, firstTokenWaits*wait),
		lastTokenAt:       now,
	}
}

// Tokens records that n tokens have come.
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

// Started tells whether the first token has come.
func (w *Watch) Started() bool { return w.started }

// Extend allows a stream without a first token the same time once more.
func (w *Watch) Extend(now time.Time) { w.lastTokenAt = now }

// LowerExpectedGap lowers the expected inter-token time to what the stream itself has
// shown. A higher one changes nothing.
func (w *Watch) LowerExpectedGap(gap time.Duration) { w.gap = max(min(w.gap, gap), slowMinGap) }

// Timeout is the time without a token after which the stream is silent.
func (w *Watch) Timeout() time.Duration {
	if !w.started {
		return w.firstTokenTimeout
	}
	return min(max(minStallTimeout, stallGaps*w.gap), maxStallTimeout)
}

// NextCheck is the time at which Check can first find the stream silent.
func (w *Watch) NextCheck() time.Time { return w.lastTokenAt.Add(w.Timeout()) }

// Check judges the stream.
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
