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
}

func (s Shares) newerThan(o Shares) bool {
	if s.Fencing != o.Fencing {
		return s.Fencing > o.Fencing
	}
	return s.Sequence > o.Sequence
}

// Gate chooses the version of each request of one move. A stop, whether it
// arrives in Shares or is set by Stop, holds for ever. It is not safe for
// concurrent use.
type Gate struct {
	shares  Shares
	stopped bool
	debts   map[Route]PerMille
}

// NewGate returns a Gate that sends everything to the old version.
func NewGate(move string, versions Pair) *Gate {
	return &Gate{
		shares: Shares{Move: move, Old: versions.Old, New: versions.New},
		debts:  make(map[Route]PerMille),
	}
}

// Apply takes newer Shares. A stop is taken from any Shares of the move,
// however old.
func (g *Gate) Apply(s Shares) {
	if s.Move != g.shares.Move {
		return
	}
	g.stopped = g.stopped || s.Stopped
	if s.newerThan(g.shares) {
		g.shares = s
	}
}

// Stop ends sending to the new version.
func (g *Gate) Stop() { g.stopped = true }

// Stopped says whether the new version is sent nothing for ever.
func (g *Gate) Stopped() bool { return g.stopped }

// NewShare returns the share of traffic that the new version is sent.
func (g *Gate) NewShare() PerMille {
	if g.stopped {
		return 0
	}
	return g.shares.NewShare
}

// Choose returns the version for the next request of route. Each route keeps
// to the share within one request, however few requests it has.
func (g *Gate) Choose(route Route) wigeonfork.Version {
	share := g.NewShare()
	if share == 0 {
		return g.shares.Old
	}
	debt := g.debts[route] + share
	if debt < AllTraffic {
		g.debts[route] = debt
		return g.shares.Old
	}
	g.debts[route] = debt - AllTraffic
	return g.shares.New
}
