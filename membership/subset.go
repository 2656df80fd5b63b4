package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/wigeonfork/wigeonfork"
)

// Candidate is a backend server that can be selected for a subset.
type Candidate struct {
	ID     wigeonfork.BackendServerID
	Domain wigeonfork.FailureDomain
	// Failed is set for a backend server that failed some time ago and that
	// another one should replace.
	Failed bool
	// Live is set for one in StateLive. Most candidates are neither.
	Live bool
}

// ranked is a candidate with its rank for one entry.
type ranked struct {
	Candidate
	score uint64
}

// ChooseSubset returns about size candidates for an entry, in order of ID. Each
// failure domain gets a quota in proportion to its candidates, rounded up. The
// result depends on the entry, the candidates and the size only. A change of one
// candidate changes about one member of the subset.
//
// A failed candidate is replaced by another of its domain. A domain counts as
// failed if at least a quarter of the candidates within its quota, and at least
// minFailedPerDomain, have failed, and more have failed than are live. Its
// candidates then stay selected. As many additional ones are selected in the
// other domains until it recovers.
func ChooseSubset(entry wigeonfork.HostID, candidates []Candidate, size int) []wigeonfork.BackendServerID {
	domains := rankByDomain(entry, candidates)
	var ids []wigeonfork.BackendServerID
	var spare []ranked
	shortfall := 0
	for _, domain := range domains {
		share := quota(len(domain), len(candidates), size)
		top := domain[:share]
		if domainFailed(top) {
			shortfall += share
			ids = appendIDs(ids, top)
			continue
		}
		available := slices.DeleteFunc(slices.Clone(domain), func(r ranked) bool { return r.Failed })
		share = min(share, len(available))
		ids = appendIDs(ids, available[:share])
		spare = append(spare, available[share:]...)
	}
	slices.SortFunc(spare, compareRank)
	ids = appendIDs(ids, spare[:min(shortfall, len(spare))])
	slices.Sort(ids)
	return ids
}

// quota returns the number of members that a domain with count of total
// candidates gets. It is rounded up, so that the subset covers every domain.
func quota(count, total, size int) int {
	return min(count, (count*size+total-1)/total)
}

func rankByDomain(entry wigeonfork.HostID, candidates []Candidate) [][]ranked {
	all := make([]ranked, len(candidates))
	seed := xxhash.Sum64String(string(entry))
	for i, c := range candidates {
		all[i] = ranked{c, mixBits(seed ^ xxhash.Sum64String(string(c.ID)))}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), compareRank(a, b))
	})
	return slices.Collect(chunkByDomain(all))
}

func chunkByDomain(all []ranked) func(yield func([]ranked) bool) {
	return func(yield func([]ranked) bool) {
		for start := 0; start < len(all); {
			end := start
			for end < len(all) && all[end].Domain == all[start].Domain {
				end++
			}
			if !yield(all[start:end]) {
				return
			}
			start = end
		}
	}
}

func compareRank(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.ID, b.ID))
}

// mixBits is a 64-bit hash finalizer. It makes the ranks of two entries
// independent.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// domainFailed reports whether a domain has failed, judging by the candidates
// within its quota.
func domainFailed(top []ranked) bool {
	failed, live := 0, 0
	for i := range top {
		if top[i].Failed {
			failed++
		}
		if top[i].Live {
			live++
		}
	}
	return failed > live && failed >= max(minFailedPerDomain, len(top)/4)
}

// minFailedPerDomain is the minimum number of failed candidates in a failed
// domain.
const minFailedPerDomain = 2

func appendIDs(ids []wigeonfork.BackendServerID, list []ranked) []wigeonfork.BackendServerID {
	for i := range list {
		ids = append(ids, list[i].ID)
	}
	return ids
}
