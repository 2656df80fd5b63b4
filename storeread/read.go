package storeread

import (
	"context"
	"time"
)

// Attempt is one attempt of a read.
type Attempt struct {
	// Repeated is set for all but the first attempt. They must not use a connection that was open
	// before, nor wait at the store.
	Repeated bool
	// AnswerBegan is to be called when the answer begins to arrive.
	AnswerBegan func()
}

// result is how an attempt ended.
type result[T any] struct {
	value T
	err   error
}

// Do makes a read and repeats it, beside the earlier attempts, as Attempts decides. The first attempt that
// ends, also with an error, decides the result, and the others are cancelled. Do returns the error of
// ctx if that ends first. wait is the time for which the store may hold the first attempt.
func Do[T any](ctx context.Context, wait time.Duration, read func(context.Context, Attempt) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempts := NewAttempts(wait)
	// Each attempt sends at most one value, so that none blocks once Do has returned.
	results := make(chan result[T], maxAttempts)
	answers := make(chan struct{}, maxAttempts)
	send := func(repeated bool) {
		attempts.Sent(time.Now())
		attempt := Attempt{Repeated: repeated, AnswerBegan: func() { notify(answers) }}
		go func() {
			value, err := read(ctx, attempt)
			results <- result[T]{value, err}
		}()
	}
	send(false)
	for {
		timer := timerOf(attempts)
		select {
		case r := <-results:
			timer.Stop()
			return r.value, r.err
		case <-answers:
			timer.Stop()
			attempts.AnswerBegan(time.Now())
		case <-timer.C:
			send(true)
		case <-ctx.Done():
			timer.Stop()
			var none T
			return none, ctx.Err()
		}
	}
}

// timerOf returns a timer that fires when the next attempt is due. It never fires if none is.
func timerOf(attempts *Attempts) *time.Timer {
	due, more := attempts.Due()
	timer := time.NewTimer(time.Until(due))
	if !more {
		timer.Stop()
	}
	return timer
}

// notify sends on a channel unless it is full.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
