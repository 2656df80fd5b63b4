package relay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/caller"
	"github.com/wigeonfork/wigeonfork/embedded"
	"github.com/wigeonfork/wigeonfork/entry/query"
	"github.com/wigeonfork/wigeonfork/experiment/report"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/test/realsystem"
)

// Target set by the users for the memory of an entry.
const (
	boundStreams       = 10_000
	boundResidentBytes = 1 << 30
)

// Sizes of the part with many open streams.
const (
	heldTokensPerSecond = 2
	heldTokens          = 256
	openParallel        = 64
	openTimeout         = 30 * time.Second
	mebibyte            = 1 << 20
	kibibyte            = 1 << 10
)

// openStreams measures the memory of an entry with many open streams. The machine's
// limit of open files may allow fewer than boundStreams, so the memory of
// boundStreams is extrapolated from the memory per stream.
func openStreams(r *report.Report, system *realsystem.System, streams int) error {
	before, err := system.Entries[0].ResidentBytes()
	if err != nil {
		return err
	}
	held := &holder{address: system.Entries[0].ServeAddress, retryUntil: time.Now().Add(openTimeout), client: caller.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}}
	defer held.close()
	if err := parallel(streams, openParallel, held.open); err != nil {
		return err
	}
	after, err := system.Entries[0].ResidentBytes()
	if err != nil {
		return err
	}
	var dump query.Dump
	if err := realsystem.Dump(system.Entries[0].ControlAddress, &dump); err != nil {
		return err
	}
	open := dump.Admission.Running
	if open == 0 {
		return errors.New("no stream is open")
	}
	perStream := float64(after-before) / float64(open)
	r.Row("streams open", open, "", float64(open), "")
	r.Row("entry without streams", open, "", float64(before)/mebibyte, "MiB")
	r.Row("entry with all streams", open, "", float64(after)/mebibyte, "MiB")
	r.Row("each stream", open, "", perStream/kibibyte, "KiB")
	r.AtMost(fmt.Sprintf("entry with %d streams", boundStreams), (float64(before)+perStream*boundStreams)/mebibyte, boundResidentBytes/mebibyte, "MiB")
	return nil
}

// holder keeps streams open after their first token.
type holder struct {
	address string
	// retryUntil is the time after which start no longer retries.
	retryUntil time.Time
	client     caller.Client
	mu         sync.Mutex
	streams    []*caller.Stream
}

func (h *holder) open(i int) error {
	request := caller.Request{Workspace: embedded.Workspace, Model: embedded.Model, Prompt: fmt.Sprintf("held %d", i), Class: "narrative", MaxTokens: heldTokens, Seed: uint64(i)}
	stream, err := h.start(request)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.streams = append(h.streams, stream)
	h.mu.Unlock()
	_, err = stream.Next()
	return err
}

// start retries while the entry refuses because it is overloaded.
func (h *holder) start(request caller.Request) (*caller.Stream, error) {
	for {
		stream, err := h.client.Start(context.Background(), h.address, request)
		var refusal *problem.Error
		if !errors.As(err, &refusal) || refusal.Code != problem.CodeOverloaded || time.Now().After(h.retryUntil) {
			return stream, err
		}
		time.Sleep(refusal.RetryAfter)
	}
}

func (h *holder) close() {
	for _, stream := range h.streams {
		// The entry may have ended the stream already.
		_ = stream.Close()
	}
}
