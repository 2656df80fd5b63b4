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
	// copyRefresh is the time between two transfers of a run's KV cache to its new copy. An engine frees a copy that has
	// received nothing for some seconds.
	copyRefresh = 1500 * time.Millisecond
	// copyRetry is the time between two attempts to make a new copy.
	copyRetry = 400 * time.Millisecond
	// copyAttempts is the number of failed transfers after which a run gets no more copies.
	copyAttempts = 6
)

// copySource identifies a copy at the server that made it: the address of that server, and the handle of the copy there.
// It is zero for the copy that a run's own server keeps at the backup.
type copySource struct {
	address, handle string
}

// copyKeeper replaces the copy of a run's KV cache if the server that holds it is lost before the run ends. If
// the run's own server is lost later, the run resumes from the new copy and its prompt is not processed again.
type copyKeeper struct {
	call *streamCall
	ctx  context.Context
	from *placement

	mu sync.Mutex
	// lost is set once the server of the first copy is lost.
	lost bool
	// at is the server that holds the new copy; nil if there is none. source is zero until the first transfer to it is
	// complete.
	at     *directory.Entry
	source copySource
	done   sync.WaitGroup
}

// copyLost starts to make a new copy, unless the run has ended or an earlier call did so. It may be called with the
// fleet's lock held.
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
			k.dropIncomplete()
			k.call.options.Log.Info().Str("request", string(k.call.caller.ID)).Str("server", string(k.from.ID)).Err(err).Msg("copy_failed")
		}
		if !sleepIn(k.ctx, wait) {
			return
		}
	}
}

var errNoServerForCopy = errors.New("no server has room for a copy")

// transfer copies the run's KV cache to the server of the new copy. It chooses that server if there is none, or if it is lost.
func (k *copyKeeper) transfer() error {
	at := k.holder()
	if at == nil || !k.call.fleet.alive(at.ID) {
		k.drop()
		at = k.call.fleet.backup(time.Now(), k.from, k.call.work, true)
	}
	if at == nil {
		return errNoServerForCopy
	}
	k.setHolder(at)
	handle, err := k.call.moveCopy(k.ctx, k.from.Entry, k.call.caller.ID, at.Address)
	if err != nil {
		return err
	}
	k.setSource(copySource{address: k.from.Address, handle: handle}, at)
	return nil
}

// holder returns the server of the new copy; nil if there is none.
func (k *copyKeeper) holder() *directory.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.at
}

// setHolder records the server of the new copy.
func (k *copyKeeper) setHolder(at *directory.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.at = at
}

// setSource records the source of the new copy after a complete transfer to a server.
func (k *copyKeeper) setSource(source copySource, at *directory.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.source == source {
		return
	}
	if k.source.handle == "" {
		telemetry.Counter(k.call.options.Metrics, "copies.replaced").Inc(1)
	}
	k.source = source
	k.call.options.Log.Info().Str("request", string(k.call.caller.ID)).Str("server", string(k.from.ID)).
		Str("at", string(at.ID)).Str("handle", source.handle).Msg("copy_replaced")
}

// drop forgets the new copy and releases the memory that is reserved for it.
func (k *copyKeeper) drop() {
	k.mu.Lock()
	at := k.at
	k.at, k.source = nil, copySource{}
	k.mu.Unlock()
	if at != nil {
		k.call.fleet.releaseBackup(at.ID, k.call.work)
	}
}

// dropIncomplete drops the new copy unless a transfer to it was complete once. Otherwise it stays, without what the run has
// made since: the run's own server may be lost now, which is why the last transfer failed.
func (k *copyKeeper) dropIncomplete() {
	k.mu.Lock()
	complete := k.source.handle != ""
	k.mu.Unlock()
	if !complete {
		k.drop()
	}
}

// end makes the new copy the backup of the stream, or frees it if the stream needs no further run. The run's context must
// have ended, and the run must not be watched any more.
func (k *copyKeeper) end(how runEnd) {
	k.done.Wait()
	if !k.lost {
		return
	}
	k.call.dropBackup()
	switch {
	case k.source.handle == "":
		k.drop()
	case how == runComplete || how == runCallerGone:
		go k.call.freeCopy(k.from.Entry, k.source.handle)
		k.drop()
	default:
		k.call.backup, k.call.backupSource = k.at, k.source
	}
}

// sleepIn waits for d, and returns false if ctx ended first.
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

// moveCopy asks the server of a run to copy the run's KV cache to the server at an address. The run continues. It returns
// the handle of the copy.
func (g *Gateway) moveCopy(ctx context.Context, from directory.Entry, request wigeonfork.RequestID, to string) (string, error) {
	target, order := g.options.Codec.MoveCopy(request, to)
	response, body, err := g.exchange(ctx, from, &upstream.Request{Method: http.MethodPost, Target: target, Body: order, HasBody: true})
	if err != nil {
		return "", err
	}
	return g.options.Codec.ReadCopy(response.Status, body)
}

// freeCopy asks the server that made a copy to free it, there and at the server that holds it.
func (g *Gateway) freeCopy(from directory.Entry, handle string) {
	// If this fails, the engine frees the copy by itself some seconds later.
	_, _, _ = g.exchange(g.background, from, &upstream.Request{Method: http.MethodDelete, Target: g.options.Codec.FreeCopyTarget(handle)})
}
