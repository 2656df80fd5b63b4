package storeread

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestNextAttemptIsNeverFarAway draws any order of attempts and beginning answers. It checks that the next
// attempt is due soon while no answer has begun, and that their number is bounded.
func TestNextAttemptIsNeverFarAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wait := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "wait"))
		a := NewAttempts(wait)
		now := time.Unix(0, 0)
		a.Sent(now)
		last, answering, sent := now, time.Time{}, 1
		for range rapid.IntRange(0, 12).Draw(t, "events") {
			due, more := a.Due()
			if more != (sent < maxAttempts) {
				t.Fatalf("more attempts is %v after %d", more, sent)
			}
			if !more {
				return
			}
			limit := FirstDelay + time.Duration(sent-1)*delayStep
			if sent == 1 {
				limit += wait
			}
			if !answering.IsZero() {
				limit = max(limit, answering.Sub(last)+transferTime)
			}
			if due.Before(last.Add(FirstDelay)) || due.After(last.Add(limit)) {
				t.Fatalf("attempt %d is due %v after the one before, at most %v allowed", sent+1, due.Sub(last), limit)
			}
			if rapid.Bool().Draw(t, "answer begins") {
				now = now.Add(time.Duration(rapid.Int64Range(0, max(0, int64(due.Sub(now)))).Draw(t, "pause")))
				a.AnswerBegan(now)
				answering = now
				continue
			}
			now = due
			a.Sent(now)
			last, sent = now, sent+1
		}
	})
}

// script is what the attempts of a read do: attempt i answers after answers[i], or never if that is 0.
type script struct {
	answers []time.Duration
	begin   time.Duration

	mu   sync.Mutex
	sent []time.Duration
}

// recordSent records an attempt and returns its number.
func (s *script) recordSent(after time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, after)
	return len(s.sent) - 1
}

var errRefused = errors.New("refused")

// sentAfter returns when the attempts were sent, from the beginning of the read.
func (s *script) sentAfter() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sent)
}

// play makes a read in virtual time. It returns which attempt answered and after what time.
func (s *script) play(wait, timeout time.Duration) (attempt int, took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	began := time.Now()
	attempt, err = Do(ctx, wait, func(ctx context.Context, a Attempt) (int, error) {
		n := s.recordSent(time.Since(began))
		if s.begin > 0 {
			time.Sleep(s.begin)
			a.AnswerBegan()
		}
		answer := s.answers[min(n, len(s.answers)-1)]
		if answer == 0 {
			<-ctx.Done()
			return n, ctx.Err()
		}
		time.Sleep(answer)
		return n, nil
	})
	return attempt, time.Since(began), err
}

func TestRead(t *testing.T) {
	inVirtualTime := func(name string, test func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
	}
	inVirtualTime("a read that is answered is sent once", func(t *testing.T) {
		s := &script{answers: []time.Duration{200 * time.Millisecond}}
		if _, took, err := s.play(0, 2*time.Second); err != nil || took != 200*time.Millisecond || len(s.sentAfter()) != 1 {
			t.Fatalf("took %v, sent %v, error %v", took, s.sentAfter(), err)
		}
	})
	inVirtualTime("a read on a silent connection is answered at its repetition", func(t *testing.T) {
		s := &script{answers: []time.Duration{0, 4 * time.Millisecond}}
		if n, took, err := s.play(0, 2*time.Second); err != nil || n != 1 || took != FirstDelay+4*time.Millisecond {
			t.Fatalf("attempt %d after %v, error %v", n, took, err)
		}
	})
	inVirtualTime("a read that waits for a change is repeated after its wait", func(t *testing.T) {
		s := &script{answers: []time.Duration{0, 4 * time.Millisecond}}
		if _, took, err := s.play(time.Second, 3*time.Second); err != nil || took != time.Second+FirstDelay+4*time.Millisecond {
			t.Fatalf("took %v, error %v", took, err)
		}
	})
	inVirtualTime("an answer that has begun has time to arrive", func(t *testing.T) {
		s := &script{answers: []time.Duration{900 * time.Millisecond}, begin: 50 * time.Millisecond}
		if _, _, err := s.play(0, 2*time.Second); err != nil || len(s.sentAfter()) != 1 {
			t.Fatalf("sent %v, error %v", s.sentAfter(), err)
		}
	})
	inVirtualTime("a read without any answer ends with its context after few attempts", func(t *testing.T) {
		s := &script{answers: []time.Duration{0}}
		_, took, err := s.play(0, 3*time.Second)
		if !errors.Is(err, context.DeadlineExceeded) || took != 3*time.Second || len(s.sentAfter()) != maxAttempts {
			t.Fatalf("took %v, sent %v, error %v", took, s.sentAfter(), err)
		}
	})
	inVirtualTime("an error is the result at once", func(t *testing.T) {
		sent := 0
		_, err := Do(context.Background(), time.Second, func(context.Context, Attempt) (int, error) {
			sent++
			return 0, errRefused
		})
		if !errors.Is(err, errRefused) || sent != 1 {
			t.Fatalf("sent %d, error %v", sent, err)
		}
	})
	Convey("The attempts of a read are in the order of their delays", t, func() {
		a, at := NewAttempts(0), time.Unix(0, 0)
		var offsets []time.Duration
		for {
			a.Sent(at)
			offsets = append(offsets, at.Sub(time.Unix(0, 0)))
			due, more := a.Due()
			if !more {
				break
			}
			at = due
		}
		So(offsets, ShouldResemble, []time.Duration{0, 300 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond})
	})
}
