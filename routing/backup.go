package routing

import (
	"math"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// reservedMemoryFraction is the part of an engine's memory that is left free for what
	// other entries place there.
	reservedMemoryFraction = 0.1
	// preemptionSeconds is the wait in seconds that an engine costs for each whole memory
	// by which it would be overfilled: its newest requests are preempted.
	preemptionSeconds = 20.0
	// backupLoadWeight is the weight of a running request against a full memory when
	// a server for a copy is chosen: a copy is of use where the run can go on.
	backupLoadWeight = 0.05
	// backupChoices is the number of servers that are weighed for a copy.
	backupChoices = 32
)

// BackupRequest asks for a server to keep a copy of a run's memory.
type BackupRequest struct {
	Model wigeonfork.Model
	// Server runs the request, in Domain.
	Server ID
	Domain wigeonfork.FailureDomain
	// Tokens is the memory that the copy takes once the run has ended.
	Tokens uint32
}

// SetMemoryLimit tells the tokens that an engine of a service holds. 0 is unlimited.
func (r *Router) SetMemoryLimit(model wigeonfork.Model, tokens int) {
	r.memoryLimit[model] = float64(tokens)
}

// ChooseBackup returns the server with the most free memory outside the failure
// domain of the run and charges it with the copy. If there is none outside, it
// takes another server of the domain.
func (r *Router) ChooseBackup(now time.Time, b BackupRequest) (ID, bool) {
	group := r.groups[Deployment{Model: b.Model}]
	best, bestScore := int32(-1), math.Inf(1)
	consider := func(i int32) {
		if score, fits := r.backupScore(now, &r.servers[i], &b); fits && score < bestScore {
			best, bestScore = i, score
		}
	}
	if len(group) <= backupChoices {
		for _, i := range group {
			consider(i)
		}
	} else {
		for range backupChoices {
			consider(group[r.random.IntN(len(group))])
		}
	}
	if best < 0 {
		return "", false
	}
	r.servers[best].copyTokens += float64(b.Tokens)
	return r.servers[best].ID, true
}

// backupScore rates a server for a copy; the lowest is the best.
func (r *Router) backupScore(now time.Time, s *server, b *BackupRequest) (score float64, fits bool) {
	if s.state != StateReady || s.ID == b.Server {
		return 0, false
	}
	fill := r.memoryUse(s, float64(b.Tokens))
	score = fill + backupLoadWeight*s.outstanding(now, r.options.DisabledTerms) + backupLoadWeight*r.random.Float64()
	if s.Domain == b.Domain {
		score++
	}
	return score, fill < 1
}

// ReleaseBackup takes a copy off the server that held it.
func (r *Router) ReleaseBackup(id ID, tokens uint32) {
	if s := r.find(id); s != nil {
		s.copyTokens = math.Max(0, s.copyTokens-float64(tokens))
	}
}

// memoryUse returns the part of a server's memory that is used once tokens more
// are placed there; 0 if its memory is not limited.
func (r *Router) memoryUse(s *server, tokens float64) float64 {
	if len(s.Versions) == 0 {
		return 0
	}
	limit := r.memoryLimit[s.Versions[0].Model] * (1 - reservedMemoryFraction)
	if limit <= 0 {
		return 0
	}
	used := s.ownTokens + s.copyTokens
	if s.own > 0 && s.otherRequests > 0 {
		used += s.ownTokens / float64(s.own) * s.otherRequests
	} else if s.otherRequests > 0 {
		used += tokens * s.otherRequests
	}
	return (used + tokens) / limit
}

// memoryDelay is the wait in seconds that lack of memory costs a request.
func (r *Router) memoryDelay(s *server, tokens float64) float64 {
	return preemptionSeconds * math.Max(0, r.memoryUse(s, tokens)-1)
}
