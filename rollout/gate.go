package rollout

import (
	"github.com/wigeonfork/wigeonfork"
)

// PerMille is a share of traffic in thousandths.
type PerMille int

// AllTraffic is the whole of the traffic.
const AllTraffic PerMille = 1000

// Shares tells the processes that route requests what to send where. Of two
// Shares of one move the one with the higher Fencing, then Sequence, is newer.
type Shares struct {
	Move     string                   `json:"move"`
	Fencing  wigeonfork.FencingNumber `json:"fencing"`
	Sequence uint64                   `json:"sequence"`
	Old      wigeonfork.Version       `json:"old"`
	New      wigeonfork.Version       `json:"new"`
	// NewShare of the traffic goes to New.
	NewShare PerMille `json:"new_share"`
	// Stopped says that New is bad. It never becomes false again.
	Stopped bool `json:"stopped,omitempty"`
	// Final says that the move is over and Old is about to be unloaded, so
	// that New cannot be stopped any more.
	Final bool `json:"final,omitempty"`
}

func (s Shares) newerThan(o Shares) bool {
	if s.Fencing != o.Fencing {
		return s.Fencing > o.Fencing
	}
	return s.Sequence > o.Sequence
}

// TrafficSplitter chooses the version of each request of one move. A stop that arrives in
// Shares holds for ever. So does one set by Stop, unless the move turns out to
// be over: then the old version is gone, and there is nothing else to send to.
// It is not safe for concurrent use.
type TrafficSplitter struct {
	shares         Shares
	stoppedByMove  bool
	stoppedLocally bool
	accumulated    map[Route]PerMille
}

// NewTrafficSplitter returns a Gate that sends everything to the old version.
func NewTrafficSplitter(move string, versions VersionPair) *TrafficSplitter {
	return &TrafficSplitter{
		shares:      Shares{Move: move, Old: versions.Old, New: versions.New},
		accumulated: make(map[Route]PerMille),
	}
}

// Apply takes newer Shares. A stop is taken from any Shares of the move,
// however old.
func (g *TrafficSplitter) Apply(s Shares) {
	if s.Move != g.shares.Move {
		return
	}
	g.stoppedByMove = g.stoppedByMove || s.Stopped
	if s.newerThan(g.shares) {
		g.shares = s
	}
	if g.shares.Final {
		g.stoppedLocally = false
	}
}

// Stop ends sending to the new version on this process's own evidence. It is
// false if the move is over.
func (g *TrafficSplitter) Stop() bool {
	if g.shares.Final {
		return false
	}
	g.stoppedLocally = true
	return true
}

// Stopped says whether the new version is sent nothing.
func (g *TrafficSplitter) Stopped() bool { return g.stoppedByMove || g.stoppedLocally }

// NewShare returns the share of traffic that the new version is sent.
func (g *TrafficSplitter) NewShare() PerMille {
	if g.Stopped() {
		return 0
	}
	return g.shares.NewShare
}

// Choose returns the version for the next request of route. Each route keeps
// to the share within one request, however few requests it has.
func (g *TrafficSplitter) Choose(route Route) wigeonfork.Version {
	share := g.NewShare()
	if share == 0 {
		return g.shares.Old
	}
	total := g.accumulated[route] + share
	if total < AllTraffic {
		g.accumulated[route] = total
		return g.shares.Old
	}
	g.accumulated[route] = total - AllTraffic
	return g.shares.New
}
