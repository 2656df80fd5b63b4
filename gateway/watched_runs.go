package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/health"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// watchedRun is a run of a stream under failure detection. A suspicion ends it only if the stream may
// continue at another server: a suspected server may be sound, and then its answer is still whole.
type watchedRun struct {
	server directory.Entry
	// cancel ends the run with its cause.
	cancel func(error)
	// reserveMove reports whether the stream may run at another server, and reserves that. It is
	// called with the fleet's lock held.
	reserveMove func(now time.Time) bool
	ended       bool
	// suspicion is why the run would have ended if its stream could continue elsewhere, or nil.
	suspicion error
	// copyAt is the server that holds the copy of the run's KV cache; empty if it is not watched. copyLost is called, with
	// the fleet's lock held, when that server is lost or removed.
	copyAt   serverID
	copyLost func()
	// suspectedAt is when the suspicion arose.
	suspectedAt time.Time
}

// watch starts failure detection for a run, with startBy and queued as in health.Streams.Start.
func (f *fleet) watch(now time.Time, run *watchedRun, startBy time.Time, queued bool) health.StreamID {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.streams.Start(now, run.server.ID, run.server.Domain, startBy, queued)
	f.runs[id] = run
	return id
}

// watchCopy has lost called, with the fleet's lock held, when the server that holds the copy of a run is lost, or at once if
// it is lost already.
func (f *fleet) watchCopy(run health.StreamID, at serverID, lost func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[run].copyAt, f.runs[run].copyLost = at, lost
	if _, known := f.entries[at]; !known || f.servers.State(at) == health.Down {
		lost()
	}
}

// copiesLostLocked calls copyLost of the runs whose copies a lost or removed server holds.
func (f *fleet) copiesLostLocked(id serverID) {
	for _, run := range f.runs {
		if run.copyAt == id && run.copyLost != nil {
			run.copyLost()
		}
	}
}

// unwatch ends the failure detection of a run.
func (f *fleet) unwatch(id health.StreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams.End(id)
	delete(f.runs, id)
}

// recordEvent records an event of a run.
func (f *fleet) recordEvent(now time.Time, id health.StreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams.Event(now, id)
	run := f.runs[id]
	if run == nil || run.ended || run.suspicion == nil {
		return
	}
	run.suspicion = nil
	f.onReturned(now, run.server)
	f.answeredLocked(now, now, run.server.ID)
}

// suspectRunLocked ends a run because of a suspicion if its stream may continue at another server.
// Otherwise it keeps the run.
func (f *fleet) suspectRunLocked(now time.Time, id health.StreamID, cause error) {
	run := f.runs[id]
	if run.ended {
		return
	}
	if f.hasOtherLocked(run.server.Service, run.server.ID) && run.reserveMove(now) {
		run.end(cause)
		return
	}
	if run.suspicion == nil {
		run.suspectedAt = now
		telemetry.Counter(f.metrics, "streams.run_kept").Inc(1)
		f.log.Info().Str("server", string(run.server.ID)).Uint64("stream", uint64(id)).Err(cause).Msg("suspected_run_kept")
	}
	run.suspicion = cause
}

// suspectRunsLocked is suspectRunLocked for all runs at a server.
func (f *fleet) suspectRunsLocked(now time.Time, id serverID, cause error) {
	for _, stream := range f.streams.StreamsAt(id) {
		f.suspectRunLocked(now, stream, cause)
	}
}

// suspectKeptRunsLocked ends the kept runs whose streams may continue at another server by now.
func (f *fleet) suspectKeptRunsLocked(now time.Time) {
	for id, run := range f.runs {
		if run.suspicion != nil {
			f.suspectRunLocked(now, id, run.suspicion)
		}
	}
}

// trustRunsLocked ends the suspicions against the runs at a server that was silent and answers again.
func (f *fleet) trustRunsLocked(id serverID) {
	for _, stream := range f.streams.StreamsAt(id) {
		if run := f.runs[stream]; isSilence(run.suspicion) {
			run.suspicion = nil
		}
	}
}

// silentSince returns since when a run is suspected because its server is silent, and false if it
// isn't.
func (f *fleet) silentSince(id health.StreamID) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run := f.runs[id]
	return run.suspectedAt, isSilence(run.suspicion)
}

// isSilence reports whether a run was ended or suspected only because its server is silent.
func isSilence(cause error) bool {
	return errors.Is(cause, errServerUnresponsive) || errors.Is(cause, errProbeFailed)
}

// endRunsLocked ends all runs at a server that is certainly gone.
func (f *fleet) endRunsLocked(id serverID, cause error) {
	for _, stream := range f.streams.StreamsAt(id) {
		f.runs[stream].end(cause)
	}
}

func (r *watchedRun) end(cause error) {
	r.ended = true
	r.cancel(cause)
}

// hasOtherLocked reports whether a service has another server that is not down, of a version that takes
// requests.
func (f *fleet) hasOtherLocked(service wigeonfork.Model, id serverID) bool {
	for other, entry := range f.entries {
		if other != id && entry.Service == service && f.servers.State(other) != health.Down && f.versions.allows(service, entry.Version) {
			return true
		}
	}
	return false
}
