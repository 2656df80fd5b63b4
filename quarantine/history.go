package quarantine

import (
	"slices"
	"time"
)

// maxLosses bounds the losses kept for one request.
const maxLosses = 32

// history is what is known of one request.
type history struct {
	losses        []keptLoss      // by time
	unsettled     []*unsettledRun // oldest first
	completedAt   time.Time
	quarantinedAt time.Time
	changedAt     time.Time
}

// keptLoss is the loss of a server under a request. One that does not count makes the request a suspect. One
// that is not confirmed was reported by a peer, and is dropped after peerSettleTime.
type keptLoss struct {
	Loss
	// fromPeer is set if the times are those of a peer's report.
	fromPeer bool
}

func (k *keptLoss) isCounted() bool { return k.Counted }

// awaitsPeer reports whether the peer that reported the loss may still report that it counts.
func (k *keptLoss) awaitsPeer(now time.Time) bool {
	return k.fromPeer && !k.Counted && now.Before(k.At.Add(peerSettleTime))
}

// expired reports whether the loss is too old to matter, or was not confirmed in time.
func (k *keptLoss) expired(now time.Time) bool {
	return now.Sub(k.At) > quarantinePeriod || !k.Confirmed && now.Sub(k.At) > peerSettleTime
}

// add adds a loss and returns whether it is new, or counts only now.
func (h *history) add(now time.Time, loss keptLoss) bool {
	if !loss.At.After(h.completedAt) {
		return false
	}
	h.expire(now)
	if i := h.indexOf(&loss.Crash); i >= 0 {
		return h.update(i, loss)
	}
	h.losses = insertLoss(h.losses, loss)
	return true
}

// expire drops the losses that no longer matter.
func (h *history) expire(now time.Time) {
	h.losses = slices.DeleteFunc(h.losses, func(k keptLoss) bool { return k.expired(now) })
}

// update updates a kept loss by what else is known of it, and returns whether that is new. The times of this
// entry's own run are more exact than those of a report.
func (h *history) update(i int, loss keptLoss) bool {
	known := &h.losses[i]
	changed := loss.Counted && !known.Counted || loss.Confirmed && !known.Confirmed
	loss.Counted, loss.Confirmed = loss.Counted || known.Counted, loss.Confirmed || known.Confirmed
	if known.fromPeer && !loss.fromPeer {
		h.losses = insertLoss(slices.Delete(h.losses, i, i+1), loss)
		return changed
	}
	known.Counted, known.Confirmed = loss.Counted, loss.Confirmed
	return changed
}

// indexOf returns the index of a kept loss, or -1.
func (h *history) indexOf(crash *Crash) int {
	return slices.IndexFunc(h.losses, func(k keptLoss) bool { return k.sameLoss(crash) })
}

// insertLoss inserts a loss in order of time.
func insertLoss(losses []keptLoss, loss keptLoss) []keptLoss {
	at := len(losses)
	for at > 0 && losses[at-1].At.After(loss.At) {
		at--
	}
	return slices.Insert(losses, at, loss)
}

// bound drops the oldest loss that adds nothing to the evidence, since it overlaps with others, if there are more than
// maxLosses. The evidence of further losses is then still counted. It returns what it has dropped.
func (h *history) bound() []keptLoss {
	if len(h.losses) <= maxLosses {
		return nil
	}
	i := h.leastNeeded()
	dropped := h.losses[i]
	h.losses = slices.Delete(h.losses, i, i+1)
	return []keptLoss{dropped}
}

// leastNeeded returns the index of the oldest loss that adds nothing to the evidence, or 0.
func (h *history) leastNeeded() int {
	needed := make(map[int]bool)
	for _, i := range consecutive(h.losses, (*keptLoss).isCounted) {
		needed[i] = true
	}
	for _, i := range separate(h.losses) {
		needed[i] = true
	}
	for i := range h.losses {
		if !needed[i] {
			return i
		}
	}
	return 0
}

// clear drops the losses for which drop returns true, and returns them.
func (h *history) clear(drop func(*keptLoss) bool) []keptLoss {
	var kept, dropped []keptLoss
	for i := range h.losses {
		if drop(&h.losses[i]) {
			dropped = append(dropped, h.losses[i])
		} else {
			kept = append(kept, h.losses[i])
		}
	}
	h.losses = kept
	return dropped
}

// countedLosses returns the number of losses that count as crashes.
func (h *history) countedLosses() int {
	n := 0
	for i := range h.losses {
		if h.losses[i].Counted {
			n++
		}
	}
	return n
}

// lostServers returns the servers that were lost under the request.
func (h *history) lostServers() []ServerStart {
	servers := make([]ServerStart, 0, len(h.losses)+len(h.unsettled))
	for i := range h.losses {
		servers = append(servers, h.losses[i].Server)
	}
	for _, run := range h.unsettled {
		if h.indexOf(&run.Crash) < 0 {
			servers = append(servers, run.Server)
		}
	}
	return servers
}

func (h *history) isQuarantined(now time.Time) bool {
	return !h.quarantinedAt.IsZero() && now.Sub(h.quarantinedAt) <= quarantinePeriod
}

// mayExplain reports whether the loss of a server under this request may explain a loss under another one. A run
// that had begun to answer is no explanation for one that had not.
func (h *history) mayExplain(other *keptLoss) bool {
	explains := func(c *Crash) bool { return c.Server.maySame(other.Server) && (!c.Begun || other.Begun) }
	for i := range h.losses {
		if explains(&h.losses[i].Crash) {
			return true
		}
	}
	return slices.ContainsFunc(h.unsettled, func(run *unsettledRun) bool { return explains(&run.Crash) })
}

// awaitsOutcome reports whether the loss of a server counts already, or has no outcome yet.
func (h *history) awaitsOutcome(crash *Crash) bool {
	if i := h.indexOf(crash); i >= 0 && h.losses[i].Counted {
		return true
	}
	return slices.ContainsFunc(h.unsettled, func(run *unsettledRun) bool { return run.sameLoss(crash) })
}

// withCounted returns losses with that of a run, which counts.
func (h *history) withCounted(losses []keptLoss, run *unsettledRun) []keptLoss {
	for i := range losses {
		if losses[i].sameLoss(&run.Crash) {
			losses[i].Counted = true
			return losses
		}
	}
	return insertLoss(losses, keptLoss{Loss: Loss{Crash: run.Crash, Counted: true}})
}

// compare orders histories by how much is lost if they are dropped.
func (h *history) compare(other *history) int {
	if h.quarantinedAt.IsZero() != other.quarantinedAt.IsZero() {
		if h.quarantinedAt.IsZero() {
			return -1
		}
		return 1
	}
	if n := len(h.losses) - len(other.losses); n != 0 {
		return n
	}
	return h.changedAt.Compare(other.changedAt)
}

func anyLoss(*keptLoss) bool { return true }

// consecutive returns the indexes of the losses that follow one another, each run having begun after the
// loss before, among those for which use returns true. Several servers that are lost at once with the same
// request on each count once.
func consecutive(losses []keptLoss, use func(*keptLoss) bool) []int {
	var chain []int
	for i := range losses {
		if !use(&losses[i]) {
			continue
		}
		if len(chain) == 0 || losses[i].followed(&losses[chain[len(chain)-1]]) {
			chain = append(chain, i)
		}
	}
	return chain
}

// separate returns the indexes of the losses that follow one another by outageWindow or more, so that those of one
// outage count once.
func separate(losses []keptLoss) []int {
	var chain []int
	for i := range losses {
		if len(chain) == 0 || losses[i].Began.Sub(losses[chain[len(chain)-1]].At) >= outageWindow {
			chain = append(chain, i)
		}
	}
	return chain
}

// followed reports whether the run of k began after the loss before it. Reports are late by different times.
// A trial begins after the losses before it, however late the reports on it are.
func (k *keptLoss) followed(before *keptLoss) bool {
	began := k.Began
	if k.fromPeer != before.fromPeer || k.Trial && k.fromPeer {
		began = began.Add(reportTolerance)
	}
	return !began.Before(before.At)
}
