package loadshare

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// fleetAddress returns the address of one of many entries.
func fleetAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7600)
}

// livePeersOf returns the Peers of entry 0 among so many, of which all are live.
func livePeersOf(entries int, now time.Time) *Peers {
	p := NewPeers(fleetAddress(0))
	for i := 1; i < entries; i++ {
		p.Received(now, fleetAddress(i))
	}
	return p
}

// TestQueriesOfManyPeersAreCheap guards against entries that fall behind in a large fleet: these queries are made at
// each sweep, and each sorted all peers by hashes that were computed anew at each comparison.
func TestQueriesOfManyPeersAreCheap(t *testing.T) {
	// A query allocates at most its result and what it needs to find that, however many peers there are.
	const maxAllocations = 2
	now := time.Unix(1000, 0)
	for _, entries := range []int{4, 103, 1100} {
		p := livePeersOf(entries, now)
		queries := map[string]func(){
			"Owners":  func() { p.Owners(now, 7, 3) },
			"Rank":    func() { p.Rank(now) },
			"Targets": func() { p.Targets(now) },
		}
		for name, query := range queries {
			Convey(name+" allocates no more in a larger fleet", t, func() {
				So(testing.AllocsPerRun(10, query), ShouldBeLessThanOrEqualTo, maxAllocations)
			})
		}
	}
}

// TestOwnersAgree draws entries, and checks that each finds the same owners: those that come first by rendezvous
// hashing of the key with their addresses as text.
func TestOwnersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 40).Draw(t, "entries")
		n := rapid.IntRange(1, 5).Draw(t, "n")
		key := rapid.Uint64().Draw(t, "key")
		now := time.Unix(1000, 0)
		var all []netip.AddrPort
		for i := range entries {
			all = append(all, fleetAddress(i*7919))
		}
		want := slices.Clone(all)
		place := func(a netip.AddrPort) uint64 {
			return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(a.String()), key))
		}
		slices.SortFunc(want, func(a, b netip.AddrPort) int { return cmp.Compare(place(b), place(a)) })
		want = want[:min(n, len(want))]
		for _, self := range all {
			p := NewPeers(self)
			for _, other := range all {
				p.Received(now, other)
			}
			if got := p.Owners(now, key, n); !slices.Equal(got, want) {
				t.Fatalf("entry %v finds %v, want %v", self, got, want)
			}
		}
	})
}

// BenchmarkOwners measures one query in a large fleet.
func BenchmarkOwners(b *testing.B) {
	now := time.Unix(1000, 0)
	p := livePeersOf(1100, now)
	for b.Loop() {
		p.Owners(now, 7, 3)
	}
}
