package quarantine

import "time"

const (
	// forgottenMemory is the time for which it is known which losses were dropped. Copies of a report wait in an entry that
	// is suspended or has no processor, and would be taken for news.
	forgottenMemory = 30 * time.Second
	// maxForgotten bounds the losses and quarantines that are known to be dropped.
	maxForgotten = 8192
)

// forgottenLog keeps which losses and quarantines of which requests were dropped although they are not old, so that late
// copies of reports on them are not new. It holds two generations, each of at most maxForgotten/2 items, and drops
// the older one when the other is full or old.
type forgottenLog struct {
	recent, older *forgottenGeneration
}

// forgottenGeneration holds what was dropped from a time on.
type forgottenGeneration struct {
	since  time.Time
	count  int
	losses map[ContentHash][]Crash
	// quarantines holds the requests whose quarantine has ended.
	quarantines map[ContentHash]bool
}

func newForgottenGeneration(since time.Time) *forgottenGeneration {
	return &forgottenGeneration{since: since, losses: make(map[ContentHash][]Crash), quarantines: make(map[ContentHash]bool)}
}

func newForgottenLog() *forgottenLog {
	return &forgottenLog{recent: newForgottenGeneration(time.Time{}), older: newForgottenGeneration(time.Time{})}
}

// turn begins another generation if the recent one is full or old.
func (l *forgottenLog) turn(now time.Time) {
	if l.recent.count < maxForgotten/2 && now.Sub(l.recent.since) <= forgottenMemory {
		return
	}
	l.older, l.recent = l.recent, newForgottenGeneration(now)
}

// recordLosses records dropped losses of a request.
func (l *forgottenLog) recordLosses(now time.Time, dropped []keptLoss) {
	for i := range dropped {
		crash := dropped[i].Crash
		if l.hasLoss(&crash) {
			continue
		}
		l.turn(now)
		l.recent.losses[crash.Content] = append(l.recent.losses[crash.Content], crash)
		l.recent.count++
	}
}

// recordQuarantine records that the quarantine of a request has ended.
func (l *forgottenLog) recordQuarantine(now time.Time, content ContentHash) {
	l.turn(now)
	l.recent.quarantines[content] = true
	l.recent.count++
}

// hasLoss reports whether the loss of a server under a request was dropped.
func (l *forgottenLog) hasLoss(crash *Crash) bool {
	for _, generation := range []*forgottenGeneration{l.recent, l.older} {
		for i := range generation.losses[crash.Content] {
			if generation.losses[crash.Content][i].sameLoss(crash) {
				return true
			}
		}
	}
	return false
}

// hasQuarantine reports whether the quarantine of a request has ended.
func (l *forgottenLog) hasQuarantine(content ContentHash) bool {
	return l.recent.quarantines[content] || l.older.quarantines[content]
}
