package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/upstream"
)

const (
	// copyRefresh is the time between two transfers of what a run has made since to its new copy. An engine frees a copy
	// that gets nothing for some seconds.
	copyRefresh = 1500 * time.Millisecond
	// copyRetry is the time between two attempts to make a new copy.
	copyRetry = 400 * time.Millisecond
	// copyAttempts bounds the attempts in one run that fail.
	copyAttempts = 6
)

// copySource is where a copy was made: the address of the server from which it was moved, and its handle there.
type copySource struct {
	address, handle string
}

// copyKeeper replaces the copy of a run's KV cache if the server that holds it is lost before the run ends. Then the
// next loss, of the run's own server, need not read the prompt again.
type copyKeeper struct {
	call *streamCall
	ctx  context.Context
	from *placement

	mu sync.Mutex
	// lost is set once the first copy is lost.
	lost bool
	// at is the server that holds the new copy; nil if there is none. source is where it was made.
	at     *directory.Entry
	source copySource
	done   sync.WaitGroup
}

// copyLost starts to make a new copy. It may be called with the fleet's lock held.
func (k *copyKeeper) copyLost() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lost || k.ctx.Err() != nil {
		return
	}
	k.lost = true
	telemetry.Counter(k.call.options.Metrics, "copies.lost").Inc(1)
	k.done.Go(k.keep)
}

// keep makes a new copy and refreshes it until the run ends.
func (k *copyKeeper) keep() {
	for failures := 0; failures < copyAttempts; {
		wait := copyRefresh
		if err := k.transfer(); err != nil {
			failures++
			wait = copyRetry
			k.drop()
			k.call.options.Log.Info().Str("request", string(k.call.caller.ID)).Str("server", string(k.from.ID)).Err(err).Msg("copy_failed")
		}
		if !sleepIn(k.ctx, wait) {
			return
		}
	}
}

var errNoServerForCopy = errors.New("no server has room for a copy")

// transfer moves what the run has made to the new copy, which it places first if there is none.
func (k *copyKeeper) transfer() error {
	at := k.holder()
	if at == nil || !k.call.fleet.alive(at.ID) {
		k.drop()
		at = k.call.fleet.backup(time.Now(), k.from, k.call.work, true)
	}
	if at == nil {
		return errNoServerForCopy
	}
	k.set(at, copySource{})
	handle, err := k.call.moveCopy(k.ctx, k.from.Entry, k.call.caller.ID, at.Address)
	if err != nil {
		return err
	}
	k.set(at, copySource{address: k.from.Address, handle: handle})
	return nil
}

func (k *copyKeeper) holder() *directory.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.at
}

// set records the server of the new copy. Without a source the known one is kept: a refresh that does not end leaves the
// copy as it was.
func (k *copyKeeper) set(at *directory.Entry, source copySource) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.at = at
	if source.handle != "" {
		if k.source.handle == "" {
			telemetry.Counter(k.call.options.Metrics, "copies.replaced").Inc(1)
		}
		k.source = source
	}
}

// drop forgets the new copy and releases its memory.
func (k *copyKeeper) drop() {
	k.mu.Lock()
	at := k.at
	k.at, k.source = nil, copySource{}
	k.mu.Unlock()
	if at != nil {
		k.call.fleet.releaseBackup(at.ID, k.call.work)
	}
}

// end takes the new copy over into the stream once the run has ended. The run's context must have ended.
func (k *copyKeeper) end(runEnd runEnd) {
	k.done.Wait()
	if !k.lost {
		return
	}
	k.call.dropBackup()
	switch {
	case k.source.handle == "":
		k.drop()
	case runEnd == runComplete || runEnd == runCallerGone:
		go k.call.freeCopy(k.from.Entry, k.source.handle)
		k.drop()
	default:
		k.call.backup, k.call.backupSource = k.at, k.source
	}
}

// sleepIn waits, and returns false if ctx ended first.
func sleepIn(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// moveCopy has a server copy the KV cache of a run, which goes on, to the server at an address. It returns the handle of
// the copy.
func (g *Gateway) moveCopy(ctx context.Context, from directory.Entry, request wigeonfork.RequestID, to string) (string, error) {
	target, order := g.options.Codec.MoveCopy(request, to)
	response, body, err := g.exchange(ctx, from, &upstream.Request{Method: http.MethodPost, Target: target, Body: order, HasBody: true})
	if err != nil {
		return "", err
	}
	return g.options.Codec.ReadCopy(response.Status, body)
}

// freeCopy frees a copy that is not needed, at both ends.
func (g *Gateway) freeCopy(from directory.Entry, handle string) {
	// An engine frees the copy by itself some seconds later.
	_, _, _ = g.exchange(g.background, from, &upstream.Request{Method: http.MethodDelete, Target: g.options.Codec.FreeCopyTarget(handle)})
}
