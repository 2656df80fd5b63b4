package loadshare

import (
	"cmp"
	"encoding/binary"
	"hash/maphash"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// PeerTimeout is the time without a datagram after which a peer is no longer live.
	PeerTimeout = 7 * time.Second
	// HeartbeatInterval is the time between two heartbeats to a live peer.
	HeartbeatInterval = 2 * time.Second
	// DiscoveryInterval is the time between two heartbeats to a peer that is not live.
	DiscoveryInterval = 10 * time.Second
	// MaxTargets bounds the peers that receive an entry's messages, so that their number does
	// not grow with the deployment. Each entry has its own subset of peers. What an entry has read
	// from the store for all goes to all (AllLive, RelayTargets): each peer that misses it reads the store.
	MaxTargets = 48
)

// peer is one other entry.
type peer struct {
	address       netip.AddrPort
	lastReceived  time.Time
	lastHeartbeat time.Time
	// name is the address as text, by which the entries are hashed. order is its place in the order of
	// Rank, and targetOrder that in the order of Targets.
	name        []byte
	order       uint64
	targetOrder uint64
}

// Peers tracks the other entries and which of them are live. Times are arguments, and it does no
// I/O. The subset that Targets chooses depends on a random seed. It is not safe for concurrent
// use.
//
// Its queries are made many times a second in each entry, so each looks at a peer once, without sorting and
// without hashing its address anew.
type Peers struct {
	self    *peer
	seed    maphash.Seed
	peers   map[netip.AddrPort]*peer
	targets []netip.AddrPort
	// ordered holds the peers in the order of Targets.
	ordered []*peer
	// key is the buffer of ownerOrder.
	key []byte
}

// NewPeers returns an empty Peers for the entry at address self.
func NewPeers(self netip.AddrPort) *Peers {
	p := &Peers{seed: maphash.MakeSeed(), peers: make(map[netip.AddrPort]*peer)}
	p.self = p.newPeer(self)
	return p
}

func (p *Peers) newPeer(address netip.AddrPort) *peer {
	name := []byte(address.String())
	return &peer{address: address, name: name, order: xxhash.Sum64(name), targetOrder: maphash.Comparable(p.seed, address)}
}

// Add adds the address of a peer, for example from the registry.
func (p *Peers) Add(address netip.AddrPort) {
	if address == p.self.address || p.peers[address] != nil {
		return
	}
	added := p.newPeer(address)
	p.peers[address] = added
	at, _ := slices.BinarySearchFunc(p.ordered, added, func(a, b *peer) int { return cmp.Compare(a.targetOrder, b.targetOrder) })
	p.ordered = slices.Insert(p.ordered, at, added)
}

// Received records a datagram of a peer and returns whether the peer was not live before.
func (p *Peers) Received(now time.Time, address netip.AddrPort) bool {
	if address == p.self.address {
		return false
	}
	p.Add(address)
	known := p.peers[address]
	isNew := !known.live(now)
	known.lastReceived = now
	return isNew
}

func (p *peer) live(now time.Time) bool {
	return !p.lastReceived.IsZero() && now.Sub(p.lastReceived) < PeerTimeout
}

// Live returns the number of live peers.
func (p *Peers) Live(now time.Time) int {
	n := 0
	for _, known := range p.ordered {
		if known.live(now) {
			n++
		}
	}
	return n
}

// Known returns the number of peers that were ever added.
func (p *Peers) Known() int { return len(p.peers) }

// Rank returns the number of live peers that come before this entry in an order on which all
// entries agree.
func (p *Peers) Rank(now time.Time) int {
	rank := 0
	for _, known := range p.ordered {
		if known.order < p.self.order && known.live(now) {
			rank++
		}
	}
	return rank
}

// Targets returns the live peers that receive this entry's messages, at most MaxTargets. The slice
// is valid until the next call.
func (p *Peers) Targets(now time.Time) []netip.AddrPort {
	p.targets = p.targets[:0]
	for _, known := range p.ordered {
		if len(p.targets) == MaxTargets {
			break
		}
		if known.live(now) {
			p.targets = append(p.targets, known.address)
		}
	}
	return p.targets
}

// AllLive returns all live peers. Only the entry that reads the store for all sends to so many.
func (p *Peers) AllLive(now time.Time) []netip.AddrPort {
	live := make([]netip.AddrPort, 0, len(p.ordered))
	for _, known := range p.ordered {
		if known.live(now) {
			live = append(live, known.address)
		}
	}
	return live
}

// Owners returns the live entries, this one included, that come first in an order of their own for a key, at
// most n. All entries that agree on which are live return the same ones.
func (p *Peers) Owners(now time.Time, key uint64, n int) []netip.AddrPort {
	owners := make([]owner, 0, n+1)
	owners = insertOwner(owners, n, owner{p.self.address, p.ownerOrder(key, p.self)})
	for _, known := range p.ordered {
		if known.live(now) {
			owners = insertOwner(owners, n, owner{known.address, p.ownerOrder(key, known)})
		}
	}
	addresses := make([]netip.AddrPort, len(owners))
	for i := range owners {
		addresses[i] = owners[i].address
	}
	return addresses
}

// owner is an entry with its place in the order for a key. The highest place comes first.
type owner struct {
	address netip.AddrPort
	order   uint64
}

// insertOwner inserts an entry into a list of at most n in descending order.
func insertOwner(list []owner, n int, o owner) []owner {
	at := len(list)
	for at > 0 && list[at-1].order < o.order {
		at--
	}
	if at >= n {
		return list
	}
	list = slices.Insert(list, at, o)
	return list[:min(n, len(list))]
}

// ownerOrder orders the entries for a key by rendezvous hashing.
func (p *Peers) ownerOrder(key uint64, of *peer) uint64 {
	p.key = binary.LittleEndian.AppendUint64(append(p.key[:0], of.name...), key)
	return xxhash.Sum64(p.key)
}

// Self returns the address of this entry.
func (p *Peers) Self() netip.AddrPort { return p.self.address }

// HeartbeatsDue returns the peers whose next heartbeat is due and records it as sent.
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
