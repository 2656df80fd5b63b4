package rollout

import (
	"github.com/wigeonfork/wigeonfork"
)

// PerMille is a share of traffic in thousandths.
type PerMille int

// AllTraffic is a share of 100 percent.
const AllTraffic PerMille = 1000

// Shares says how the processes that route requests split the traffic of a move. Of two
// Shares of one move, the one with the higher Fencing, then Sequence, is newer.
type Shares struct {
	Move     string                   `json:"move"`
	Fencing  wigeonfork.FencingNumber `json:"fencing"`
	Sequence uint64                   `json:"sequence"`
	Old      wigeonfork.Version       `json:"old"`
	New      wigeonfork.Version       `json:"new"`
	// NewShare is the share of traffic sent to New.
	NewShare PerMille `json:"new_share"`
	// Stopped says that New has been stopped. It stays set.
	Stopped bool `json:"stopped,omitempty"`
	// Final says that the move is over and Old is about to be unloaded. New can no longer
	// be stopped.
	Final bool `json:"final,omitempty"`
}

func (s Shares) newerThan(o Shares) bool {
	if s.Fencing != o.Fencing {
		return s.Fencing > o.Fencing
	}
	return s.Sequence > o.Sequence
}

// TrafficSplitter chooses the version of each request of one move. A stop received in Shares
// is permanent. A stop set by Stop is lifted when the move is over, because the old version is
// then unloaded and there is no other version to send to. It is not safe for concurrent use.
type TrafficSplitter struct {
	shares         Shares
	stoppedByMove  bool
	stoppedLocally bool
	accumulated    map[Route]PerMille
}

// NewTrafficSplitter returns a TrafficSplitter that sends all traffic to the old version.
func NewTrafficSplitter(move string, versions VersionPair) *TrafficSplitter {
	return &TrafficSplitter{
		shares:      Shares{Move: move, Old: versions.Old, New: versions.New},
		accumulated: make(map[Route]PerMille),
	}
}

// Apply adopts Shares that are newer. It adopts a stop from any Shares of the move, even from
// older ones.
func (t *TrafficSplitter) Apply(s Shares) {
	if s.Move != t.shares.Move {
		return
	}
	t.stoppedByMove = t.stoppedByMove || s.Stopped
	if s.newerThan(t.shares) {
		t.shares = s
	}
	if t.shares.Final {
		t.stoppedLocally = false
	}
}

// Stop stops sending to the new version on this process's own evidence. It returns false and
// does nothing if the move is over.
func (t *TrafficSplitter) Stop() bool {
	if t.shares.Final {
		return false
	}
	t.stoppedLocally = true
	return true
}

// Stopped reports whether the new version is stopped.
func (t *TrafficSplitter) Stopped() bool { return t.stoppedByMove || t.stoppedLocally }

// NewShare returns the share of traffic sent to the new version.
func (t *TrafficSplitter) NewShare() PerMille {
	if t.Stopped() {
		return 0
	}
	return t.shares.NewShare
}

// Choose returns the version for the next request of route. Each route stays within one
// request of the share, however few requests it has.
func (t *TrafficSplitter) Choose(route Route) wigeonfork.Version {
	share := t.NewShare()
	if share == 0 {
		return t.shares.Old
	}
	total := t.accumulated[route] + share
	if total < AllTraffic {
		t.accumulated[route] = total
		return t.shares.Old
	}
	t.accumulated[route] = total - AllTraffic
	return t.shares.New
}
