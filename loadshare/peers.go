package loadshare

import (
	"cmp"
	"hash/maphash"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// PeerTimeout is the time without a datagram after which a peer is taken as
	// gone until it is heard again.
	PeerTimeout = 7 * time.Second
	// HeartbeatInterval is the time between two hellos to a peer that is there.
	HeartbeatInterval = 2 * time.Second
	// DiscoveryInterval is the time between two hellos to one that is not heard.
	DiscoveryInterval = 10 * time.Second
	// MaxTargets bounds the peers that are told, so that an entry's messages do not
	// grow with the deployment. Each entry has a subset of its own.
	MaxTargets = 48
)

// peer is one other entry.
type peer struct {
	lastReceived  time.Time
	lastHeartbeat time.Time
}

// Peers knows the other entries. It is a deterministic decision type and not safe
// for concurrent use.
type Peers struct {
	self    netip.AddrPort
	seed    maphash.Seed
	peers   map[netip.AddrPort]*peer
	targets []netip.AddrPort
}

// NewPeers returns a Peers without any.
func NewPeers(self netip.AddrPort) *Peers {
	return &Peers{self: self, seed: maphash.MakeSeed(), peers: make(map[netip.AddrPort]*peer)}
}

// Add makes an address known, as from the registry.
func (p *Peers) Add(address netip.AddrPort) {
	if address != p.self && p.peers[address] == nil {
		p.peers[address] = &peer{}
	}
}

// Received records a datagram of a peer and returns whether it was not there before.
func (p *Peers) Received(now time.Time, address netip.AddrPort) bool {
	if address == p.self {
		return false
	}
	p.Add(address)
	known := p.peers[address]
	isNew := !known.live(now)
	known.lastReceived = now
	return isNew
}

func (k *peer) live(now time.Time) bool {
	return !k.lastReceived.IsZero() && now.Sub(k.lastReceived) < PeerTimeout
}

// Live returns the number of peers that are there.
func (p *Peers) Live(now time.Time) int {
	n := 0
	for _, known := range p.peers {
		if known.live(now) {
			n++
		}
	}
	return n
}

// Known returns the number of peers that were ever known.
func (p *Peers) Known() int { return len(p.peers) }

// Rank returns the number of peers that are there and come before this entry in
// an order on which all entries agree.
func (p *Peers) Rank(now time.Time) int {
	rank, own := 0, peerOrder(p.self)
	for address, known := range p.peers {
		if known.live(now) && peerOrder(address) < own {
			rank++
		}
	}
	return rank
}

func peerOrder(address netip.AddrPort) uint64 { return xxhash.Sum64String(address.String()) }

// Targets returns the peers to tell of sends and losses.
func (p *Peers) Targets(now time.Time) []netip.AddrPort {
	p.targets = p.targets[:0]
	for address, known := range p.peers {
		if known.live(now) {
			p.targets = append(p.targets, address)
		}
	}
	if len(p.targets) > MaxTargets {
		slices.SortFunc(p.targets, func(a, b netip.AddrPort) int {
			return cmp.Compare(maphash.Comparable(p.seed, a), maphash.Comparable(p.seed, b))
		})
		p.targets = p.targets[:MaxTargets]
	}
	return p.targets
}

// HeartbeatsDue returns the peers to greet now and takes them as greeted.
func (p *Peers) HeartbeatsDue(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	for address, known := range p.peers {
		wait := DiscoveryInterval
		if known.live(now) {
			wait = HeartbeatInterval
		}
		if known.lastHeartbeat.IsZero() || now.Sub(known.lastHeartbeat) >= wait {
			known.lastHeartbeat = now
			due = append(due, address)
		}
	}
	return due
}
