package quarantine

import (
	"slices"
	"time"
)

// PartID identifies a part of a prompt, as the caller names it. Requests share parts.
type PartID uint64

// PartRun is a run that was lost before its first event. Its parts are suspected of the loss.
type PartRun struct {
	Content ContentHash
	Server  ServerStart
	// Parts are the parts of the prompt without the last, which belongs to the request itself.
	Parts []PartID
	// Began is when the run began, and At when it was lost.
	Began, At time.Time
}

// PartCrash is the loss of a backend server that counts against the parts of a run there.
type PartCrash struct {
	Content ContentHash
	Server  ServerStart
	Parts   []PartID
	At      time.Time
	// WithOthers is set if other servers of the failure domain were lost at the same time. Such
	// crashes count once for each moment, however many servers are lost.
	WithOthers bool
}

// PartBegin is the first event of a run. It proves that its parts don't crash servers, until At.
type PartBegin struct {
	Parts []PartID
	At    time.Time
	// Told is set if a peer tells all entries of it.
	Told bool
}

// add adds a part with which a run began at a time. At stays the earliest time of all parts.
func (b *PartBegin) add(id PartID, at time.Time) {
	if len(b.Parts) == 0 || at.Before(b.At) {
		b.At = at
	}
	b.Parts = append(b.Parts, id)
}

// PartQuarantine is a quarantine of requests whose prompts hold all of Parts. Parts are several if no
// evidence separates them, in ascending order.
type PartQuarantine struct {
	Parts []PartID
	// Since is the time of the crash that reached the limit.
	Since time.Time
	// Trials is the number of requests that were let through since, to test the verdict.
	Trials int
}

// Holds reports whether a prompt holds all parts of the quarantine.
func (q *PartQuarantine) Holds(parts []PartID) bool {
	for _, id := range q.Parts {
		if !slices.Contains(parts, id) {
			return false
		}
	}
	return true
}

// PartSuspicion is the evidence against the parts of one run after its loss was judged.
type PartSuspicion struct {
	PartCrash
	Outcome Outcome
	// Crashes is the number of crashes of the part with the most.
	Crashes int
}

// PartVerdict is a new quarantine and its evidence: how many crashes of how many servers by how many
// requests.
type PartVerdict struct {
	PartQuarantine
	Crashes, Servers, Requests int
}
