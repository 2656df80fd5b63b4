package configuration

import (
	"fmt"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/revision"
)

// Row holds the figures of one size. Rates are per second of virtual time;
// Processor is in microseconds of real time.
type Row struct {
	Seed               uint64
	Hosts              int
	Rate               float64
	Changes            int
	Unfinished         int
	P50, P99, Max      time.Duration
	Messages           float64
	Bytes              float64
	IdleBytes          float64
	BytesPerChange     float64
	Reads              float64
	Processor          float64
	IdleProcessor      float64
	ProcessorPerChange float64
}

// tracker finds when a change is in force on every instance that serves.
type tracker struct {
	fleet     *fleet
	committed []time.Duration
	behind    []int
	held      []wigeonfork.Revision
	times     []time.Duration
}

func newTracker(f *fleet) *tracker {
	t := &tracker{fleet: f, held: make([]wigeonfork.Revision, len(f.instances))}
	f.installed = t.installed
	return t
}

// commit notes a change. Instances that are down cannot be behind.
func (t *tracker) commit(key string, value []byte) {
	r := t.fleet.commit(key, value)
	behind := 0
	for i := range t.fleet.instances {
		if t.counts(i) {
			behind++
		}
	}
	for len(t.committed) < int(r) {
		t.committed = append(t.committed, 0)
		t.behind = append(t.behind, 0)
	}
	t.committed[r-1] = t.fleet.now
	t.behind[r-1] = behind
}

func (t *tracker) counts(i int) bool {
	in := &t.fleet.instances[i]
	return !in.down && in.node.Serving()
}

func (t *tracker) installed(i int, to wigeonfork.Revision) {
	if t.held[i] >= to {
		return
	}
	from := t.held[i]
	t.held[i] = to
	t.clear(from, to)
}

// clear takes one instance off the revisions after from up to to.
func (t *tracker) clear(from, to wigeonfork.Revision) {
	for r := from; r < to && int(r) < len(t.behind); r++ {
		if t.behind[r] == 0 {
			continue
		}
		t.behind[r]--
		if t.behind[r] == 0 {
			t.times = append(t.times, t.fleet.now-t.committed[r])
		}
	}
}

// restart takes an instance that goes down off all revisions it lacks. It
// does not serve again before it holds them.
func (t *tracker) restart(i int) {
	head := wigeonfork.Revision(len(t.fleet.table))
	if t.counts(i) {
		t.clear(t.held[i], head)
	}
	t.held[i] = head
	t.fleet.restart(i)
}

func (t *tracker) unfinished() int {
	count := 0
	for _, behind := range t.behind {
		if behind > 0 {
			count++
		}
	}
	return count
}

func makePeers(size, domains int) []revision.Peer {
	peers := make([]revision.Peer, size)
	for i := range peers {
		peers[i] = revision.Peer{
			ID:     wigeonfork.HostID(fmt.Sprintf("host-%05d", i)),
			Domain: wigeonfork.FailureDomain(fmt.Sprintf("domain-%02d", i%domains)),
		}
	}
	return peers
}

// measure runs one size: first idle, then with changes and restarts.
func measure(p plan, seed uint64) Row {
	f := newFleet(p.size, domainCount, seed, lossShare)
	for i := range itemCount {
		f.commit(itemKey(i), itemValue(i))
	}
	t := newTracker(f)
	f.boot()
	f.run(warmUp)
	idle := f.phase(p.duration/2, nil)
	busy := f.phase(p.duration, func(d time.Duration) { t.load(p, d) })
	f.run(f.now + settleTime)
	return t.row(p, seed, idle, busy)
}

// phase runs a load and returns what it cost.
func (f *fleet) phase(d time.Duration, load func(time.Duration)) counters {
	before := f.total
	end := f.now + d
	if load != nil {
		load(end)
	}
	f.run(end)
	return counters{
		sent:      f.total.sent - before.sent,
		bytes:     f.total.bytes - before.bytes,
		reads:     f.total.reads - before.reads,
		processor: f.total.processor - before.processor,
	}
}

// load makes changes and restarts at random times until end.
func (t *tracker) load(p plan, end time.Duration) {
	f := t.fleet
	restartRate := restartsPerHour / time.Hour.Seconds()
	change := f.now + f.wait(p.rate)
	restart := f.now + f.wait(restartRate)
	for min(change, restart) < end {
		if change < restart {
			f.run(change)
			i := f.random.IntN(itemCount)
			t.commit(itemKey(i), itemValue(len(f.table)))
			change = f.now + f.wait(p.rate)
			continue
		}
		f.run(restart)
		if i := f.random.IntN(p.size); !f.instances[i].down {
			t.restart(i)
		}
		restart = f.now + f.wait(restartRate)
	}
}

func (f *fleet) wait(rate float64) time.Duration {
	return time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
}

func itemKey(i int) string { return fmt.Sprintf("d/deployment-%02d/w/workspace-%04d", i%10, i) }

func itemValue(n int) []byte {
	return fmt.Appendf(nil, "%-*d", itemBytes, n)
}

func (t *tracker) row(p plan, seed uint64, idle, busy counters) Row {
	hosts := float64(p.size)
	seconds := p.duration.Seconds()
	idleSeconds := seconds / 2
	slices.Sort(t.times)
	changes := len(t.times) + t.unfinished()
	row := Row{
		Seed:          seed,
		Hosts:         p.size,
		Rate:          p.rate,
		Changes:       changes,
		Unfinished:    t.unfinished(),
		P50:           quantile(t.times, 0.50),
		P99:           quantile(t.times, 0.99),
		Max:           quantile(t.times, 1),
		Messages:      float64(busy.sent) / hosts / seconds,
		Bytes:         float64(busy.bytes) / hosts / seconds,
		IdleBytes:     float64(idle.bytes) / hosts / idleSeconds,
		Reads:         float64(busy.reads) / seconds,
		Processor:     microseconds(busy.processor) / hosts / seconds,
		IdleProcessor: microseconds(idle.processor) / hosts / idleSeconds,
	}
	perSecond := float64(changes) / seconds
	row.BytesPerChange = (row.Bytes - row.IdleBytes) / perSecond
	row.ProcessorPerChange = (row.Processor - row.IdleProcessor) / perSecond
	return row
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
