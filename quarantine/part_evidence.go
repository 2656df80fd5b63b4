package quarantine

import (
	"slices"
	"time"
)

const (
	// partCrashLimit is the number of servers that requests with a part may crash before it is
	// quarantined, and partRequestLimit the least number of different requests among them.
	partCrashLimit   = 3
	partRequestLimit = 2
	// maxPartCrashes bounds the crashes kept for each part.
	maxPartCrashes = 32
)

// partCrash is one crash in the evidence against a part.
type partCrash struct {
	content    ContentHash
	server     ServerStart
	at         time.Time
	withOthers bool
}

// partHistory is the evidence against one part: the crashes since the last run that began with it.
type partHistory struct {
	crashes   []partCrash // by time
	changedAt time.Time
}

// add adds a crash unless it is known.
func (h *partHistory) add(now time.Time, crash partCrash) bool {
	h.expire(now)
	at := len(h.crashes)
	for i := range h.crashes {
		if h.crashes[i].server == crash.server && h.crashes[i].content == crash.content {
			return false
		}
		if at == len(h.crashes) && h.crashes[i].at.After(crash.at) {
			at = i
		}
	}
	h.crashes = slices.Insert(h.crashes, at, crash)
	if len(h.crashes) > maxPartCrashes {
		h.dropFromLargestMoment()
	}
	h.changedAt = now
	return true
}

// dropFromLargestMoment drops the last crash of the moment with the most of them, which needs it least.
func (h *partHistory) dropFromLargestMoment() {
	largest, end := 0, 0
	for from := 0; from < len(h.crashes); {
		to := from + 1
		for to < len(h.crashes) && h.crashes[to].at.Sub(h.crashes[from].at) <= massLossWindow {
			to++
		}
		if to-from > largest {
			largest, end = to-from, to
		}
		from = to
	}
	h.crashes = slices.Delete(h.crashes, end-1, end)
}

// expire drops the crashes that are too old to count.
func (h *partHistory) expire(now time.Time) {
	h.crashes = slices.DeleteFunc(h.crashes, func(c partCrash) bool { return now.Sub(c.at) > quarantinePeriod })
}

// without returns the evidence that the loss of other servers leaves.
func (h *partHistory) without(servers []ServerStart) *partHistory {
	if len(servers) == 0 {
		return h
	}
	rest := slices.DeleteFunc(slices.Clone(h.crashes), func(c partCrash) bool { return slices.Contains(servers, c.server) })
	return &partHistory{crashes: rest}
}

// clear drops the crashes up to a run that began, and returns whether there were any.
func (h *partHistory) clear(at time.Time) bool {
	before := len(h.crashes)
	h.crashes = slices.DeleteFunc(h.crashes, func(c partCrash) bool { return !c.at.After(at) })
	return len(h.crashes) < before
}

// servers returns the different servers of the crashes.
func (h *partHistory) servers() []ServerStart {
	var list []ServerStart
	for i := range h.crashes {
		if !slices.Contains(list, h.crashes[i].server) {
			list = append(list, h.crashes[i].server)
		}
	}
	return list
}

// requests returns the number of different requests in the crashes.
func (h *partHistory) requests() int {
	var list []ContentHash
	for i := range h.crashes {
		if !slices.Contains(list, h.crashes[i].content) {
			list = append(list, h.crashes[i].content)
		}
	}
	return len(list)
}

// lastAt returns the time of the last crash.
func (h *partHistory) lastAt() time.Time { return h.crashes[len(h.crashes)-1].at }

// qualifies reports whether the evidence suffices if no other part explains it better: crashes at two
// moments at least, of partCrashLimit servers, by partRequestLimit requests.
func (h *partHistory) qualifies() bool {
	if len(h.crashes) < partCrashLimit || h.requests() < partRequestLimit {
		return false
	}
	score, moments := h.score()
	return score >= partCrashLimit && moments >= 2
}

// score returns the number of crashes of different servers, and of the moments at which they came.
// Crashes within massLossWindow after the first of them are one moment. Those with other losses in
// their failure domain count once a moment.
func (h *partHistory) score() (score, moments int) {
	var counted []ServerStart
	var since time.Time
	withOthers := false
	for i := range h.crashes {
		c := &h.crashes[i]
		if moments == 0 || c.at.Sub(since) > massLossWindow {
			since, withOthers = c.at, false
			moments++
		}
		if slices.Contains(counted, c.server) || c.withOthers && withOthers {
			continue
		}
		counted = append(counted, c.server)
		withOthers = withOthers || c.withOthers
		score++
	}
	return score, moments
}

// sameRuns reports whether two parts have crashed the same runs, so that nothing separates them.
func (h *partHistory) sameRuns(other *partHistory) bool {
	return len(h.crashes) == len(other.crashes) && h.runsWithin(other)
}

// runsWithin reports whether each run that was lost with the part was also lost with the other.
func (h *partHistory) runsWithin(other *partHistory) bool {
	for i := range h.crashes {
		c := &h.crashes[i]
		found := slices.ContainsFunc(other.crashes, func(o partCrash) bool { return o.server == c.server && o.content == c.content })
		if !found {
			return false
		}
	}
	return true
}

// explainedBy reports whether another part explains all crashes of the part and more: it was at each
// of these servers and at others, or in the same runs there and in others.
func (h *partHistory) explainedBy(other *partHistory) bool {
	own, others := h.servers(), other.servers()
	for _, server := range own {
		if !slices.Contains(others, server) {
			return false
		}
	}
	if len(others) > len(own) {
		return true
	}
	return len(other.crashes) > len(h.crashes) && h.runsWithin(other)
}
