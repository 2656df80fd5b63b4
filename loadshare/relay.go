package loadshare

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// relayFanout bounds the peers to which an entry passes on what is for all. A message of many changed
	// servers to each peer of a large fleet would fill the link of a small entry for a second.
	relayFanout = 12
	// maxRelayHops bounds how often a message is passed on, also while entries disagree on which are live. It
	// suffices for more than ten thousand entries.
	maxRelayHops = 4
	// maxReportPasses bounds how often a report that is passed on where it is new is passed on. With MaxTargets and
	// forwardFanout it suffices for more than ten thousand entries.
	maxReportPasses = 4
)

// mayPassOn reports whether an entry that received a report may pass it on, which was passed on passes times. What an entry
// has forgotten is new to it again, so that without a bound copies of two reports that undo each other go round for good.
func mayPassOn(passes uint8) bool { return passes < maxReportPasses }

// RelayTargets returns the peers to which this entry passes on a message of origin for all entries. The live entries
// form a tree below origin, on which all agree that agree on which are live: each gets the message once.
func (p *Peers) RelayTargets(now time.Time, origin netip.AddrPort) []netip.AddrPort {
	return p.relayTargetsOf(now, p.self.address, origin)
}

// relayTargetsOf returns the entries that are below an entry in the tree below origin.
func (p *Peers) relayTargetsOf(now time.Time, entry, origin netip.AddrPort) []netip.AddrPort {
	entries := p.relayOrder(now, origin)
	first := slices.Index(entries, entry)*relayFanout + 1
	if first >= len(entries) {
		return nil
	}
	return entries[first:min(first+relayFanout, len(entries))]
}

// relayOrder returns the live entries, this one and origin included, in an order on which all agree, from origin on.
func (p *Peers) relayOrder(now time.Time, origin netip.AddrPort) []netip.AddrPort {
	members := []*peer{p.self}
	for _, known := range p.ordered {
		if known.live(now) || known.address == origin {
			members = append(members, known)
		}
	}
	if origin != p.self.address && p.peers[origin] == nil {
		members = append(members, p.newPeer(origin))
	}
	slices.SortFunc(members, func(a, b *peer) int { return cmp.Compare(a.order, b.order) })
	start := slices.IndexFunc(members, func(m *peer) bool { return m.address == origin })
	entries := make([]netip.AddrPort, 0, len(members))
	for i := range members {
		entries = append(entries, members[(start+i)%len(members)].address)
	}
	return entries
}
