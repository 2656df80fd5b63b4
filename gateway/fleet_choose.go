package gateway

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/health"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// query describes the server that a request needs.
type query struct {
	service wigeonfork.Model
	work    routing.Work
	resume  bool
	// exclude lists servers that must not be chosen, and avoid those that are chosen
	// only if there is no other.
	exclude []serverID
	avoid   []serverID
	// avoidDomain is the failure domain of a recent loss, or empty.
	avoidDomain wigeonfork.FailureDomain
	// mayOvercommit is set if the request goes to the least bad server when none has room.
	mayOvercommit bool
}

// choose returns the server for a request and charges it with the work, unless it names a limit: then
// start charges it. The caller must release the work by finished or failed. If no server has room and the
// request may not overcommit one, the error is a *routing.NoRoomError and nothing is charged.
func (f *fleet) choose(now time.Time, q *query) (*placement, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	decision, err := f.chooseVersion(now, &routing.Request{
		Model:        q.service,
		Class:        q.work.Class,
		Prefixes:     q.work.Prefixes,
		PromptTokens: q.work.PromptTokens,
		MaxTokens:    q.work.MaxTokens,
		Exclude:      q.exclude,
		Avoid:        q.avoid,
		AvoidDomain:  q.avoidDomain,
		Resume:       q.resume,
		Rank:         q.work.Rank,
	})
	if err != nil {
		return nil, err
	}
	if decision.NoRoom {
		if q.mayOvercommit {
			telemetry.Counter(f.metrics, "servers.overcommitted").Inc(1)
		} else {
			telemetry.Counter(f.metrics, "servers.no_room").Inc(1)
			return nil, &routing.NoRoomError{RoomIn: decision.RoomIn}
		}
	}
	place := &placement{Entry: f.entries[decision.ID], expectedWait: decision.ExpectedWait, expectedTotal: decision.ExpectedTotal, sentAt: now}
	if place.unstarted = f.isLimited(place.ID); !place.unstarted {
		f.startLocked(now, place, q.work)
	}
	return place, nil
}

// assign chooses the given server, like choose. It returns nil if the server is unknown or down.
func (f *fleet) assign(now time.Time, id serverID, work routing.Work) *placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	place := &placement{Entry: f.entries[id], sentAt: now}
	if !f.takesLocked(id) {
		return nil
	}
	if place.unstarted = f.isLimited(id); !place.unstarted {
		f.startLocked(now, place, work)
	}
	return place
}

// start charges the server of an unstarted placement with the work. It returns false if the server takes no
// requests any more.
func (f *fleet) start(now time.Time, p *placement, work routing.Work) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.takesLocked(p.ID) {
		return false
	}
	p.sentAt = now
	f.startLocked(now, p, work)
	return true
}

// takesLocked reports whether a server is known and not down, and its version may get a request.
func (f *fleet) takesLocked(id serverID) bool {
	entry, ok := f.entries[id]
	return ok && f.servers.State(id) != health.Down && f.versions.allows(entry.Service, entry.Version)
}

func (f *fleet) startLocked(now time.Time, p *placement, work routing.Work) {
	p.unstarted = false
	f.router.Started(now, p.ID, work)
	f.versions.sent(p.Service, p.Version)
}
