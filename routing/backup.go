package routing

import (
	"math"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// reservedMemoryFraction is the fraction of an engine's KV cache that is left
	// free for requests and backups placed there by other entries.
	reservedMemoryFraction = 0.1
	// preemptionSeconds is the expected delay of a request for each full KV cache
	// of demand beyond the limit. An engine without memory preempts its newest
	// requests.
	preemptionSeconds = 20.0
	// backupLoadWeight is the score of one outstanding request when a backup
	// server is chosen; a full KV cache scores 1. A backup is only useful on a
	// server that has the capacity to continue the request.
	backupLoadWeight = 0.05
	// backupChoices is the number of servers sampled for a backup.
	backupChoices = 32
)

// BackupRequest asks for a server to keep a backup: a copy of a request's KV
// cache, from which the request can continue if its server fails.
type BackupRequest struct {
	Model wigeonfork.Model
	// Version is the version that the server must serve; empty for any.
	Version wigeonfork.Version
	// Server runs the request. Domain is its failure domain.
	Server ID
	Domain wigeonfork.FailureDomain
	// Tokens is the size of the backup, in tokens, when the request ends.
	Tokens uint32
	// Replaces is set if the copy replaces a lost one of a run in progress.
	Replaces bool
}

// SetMemoryLimit sets the KV cache size, in tokens, of the engines that serve a
// model; 0 means unlimited.
func (r *Router) SetMemoryLimit(model wigeonfork.Model, tokens int) {
	r.memoryLimit[model] = float64(tokens)
}

// ChooseBackup returns a server with free KV cache for a backup and charges it
// with the backup. It returns false if it finds none. It considers servers that
// list the model with the version, and one in the failure domain of the request
// only if no other has memory. Among these it prefers more free memory and fewer
// outstanding requests.
func (r *Router) ChooseBackup(now time.Time, b BackupRequest) (ID, bool) {
	group := r.groups[Deployment{Model: b.Model, Version: b.Version}]
	best, bestScore := int32(-1), backupScore{}
	consider := func(i int32) {
		score, fits := r.scoreBackup(now, &r.servers[i], &b)
		if fits && (best < 0 || score.less(bestScore)) {
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
	r.servers[best].backupTokens += float64(b.Tokens)
	return r.servers[best].ID, true
}

// backupScore rates a server for a backup; the lowest score wins.
type backupScore struct {
	// sameDomain means that the server is lost together with the failure domain of the request.
	sameDomain bool
	load       float64
}

func (s backupScore) less(other backupScore) bool {
	if s.sameDomain != other.sameDomain {
		return other.sameDomain
	}
	return s.load < other.load
}

// scoreBackup rates a server for a backup. fits reports whether the server is
// eligible and has memory for the backup.
func (r *Router) scoreBackup(now time.Time, s *server, b *BackupRequest) (score backupScore, fits bool) {
	if s.state != StateReady || s.ID == b.Server {
		return backupScore{}, false
	}
	fill := r.memoryUse(now, s, float64(b.Tokens))
	load := fill + backupLoadWeight*s.outstanding(now, r.options.DisabledTerms) + backupLoadWeight*r.random.Float64()
	return backupScore{sameDomain: s.Domain == b.Domain, load: load}, fill < 1 && r.hasRoomForCopy(now, s, b)
}

// ReleaseBackup frees the memory that a server was charged with for a backup.
func (r *Router) ReleaseBackup(id ID, tokens uint32) {
	if s := r.find(id); s != nil {
		s.backupTokens = math.Max(0, s.backupTokens-float64(tokens))
	}
}

// memoryUse returns the fraction of a server's KV cache that is in use once
// tokens more are placed there. It returns 0 if the memory is not limited.
// Requests of other entries are assumed to be as large as the mean own request,
// or as large as tokens if there is no own request.
func (r *Router) memoryUse(now time.Time, s *server, tokens float64) float64 {
	if len(s.Versions) == 0 {
		return 0
	}
	limit := r.memoryLimit[s.Versions[0].Model] * (1 - reservedMemoryFraction)
	if limit <= 0 {
		return 0
	}
	used := s.ownTokens + s.backupTokens
	size := tokens
	if s.ownRequests > 0 {
		size = s.ownTokens / float64(s.ownRequests)
	}
	used += size * s.requestsOfOthers(now)
	return (used + tokens) / limit
}

// requestsOfOthers estimates the requests of other entries that the last report counted.
func (s *server) requestsOfOthers(now time.Time) float64 {
	if !s.prior.capacity.ReportsSlowdown() {
		return s.otherRequests
	}
	return s.runningPeerRequests(now, s.service.read(now, s.prior.service, DefaultSpeedHalfLife))
}

// memoryDelay returns the expected delay in seconds due to lack of KV cache.
func (r *Router) memoryDelay(now time.Time, s *server, tokens float64) float64 {
	return preemptionSeconds * math.Max(0, r.memoryUse(now, s, tokens)-1)
}
