package engine

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
)

// stream is one generation. It stores only the number of its tokens, since each token is computed
// from its position.
type stream struct {
	req    httpbackend.CompletionRequest
	hash   uint64
	answer answer
	inc    *incarnation
	run    *Run
	ctx    context.Context
	cancel context.CancelFunc

	mu           sync.Mutex
	progress     progress
	readers      map[chan struct{}]struct{}
	abandonTimer *time.Timer
}

// progress is the state of a stream that its readers see. until is the position after its last
// token.
type progress struct {
	until        int
	end          RunEnd
	message      string
	stop         backend.StopReason
	promptTokens uint32
	cachedTokens uint32
}

func (st *stream) from() int { return len(st.req.PrefixTokens) }

func (st *stream) snapshot() progress {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.progress
}

// change applies f to the progress and wakes the readers.
func (st *stream) change(f func(*progress)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	f(&st.progress)
	for wake := range st.readers {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// attach adds a reader and returns a channel that receives after each change.
func (st *stream) attach() chan struct{} {
	st.mu.Lock()
	defer st.mu.Unlock()
	wake := make(chan struct{}, 1)
	st.readers[wake] = struct{}{}
	if st.abandonTimer != nil {
		st.abandonTimer.Stop()
		st.abandonTimer = nil
	}
	return wake
}

// detach removes a reader. It calls abandon once there has been no reader for bufferFor.
func (st *stream) detach(wake chan struct{}, bufferFor time.Duration, abandon func()) {
	st.mu.Lock()
	delete(st.readers, wake)
	orphaned := len(st.readers) == 0
	if orphaned && bufferFor > 0 {
		st.abandonTimer = time.AfterFunc(bufferFor, abandon)
	}
	st.mu.Unlock()
	if orphaned && bufferFor <= 0 {
		abandon()
	}
}

// readerless returns whether st has no reader.
func (st *stream) readerless() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.readers) == 0
}
