package configuration

import (
	"fmt"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/revision"
)

// Row contains the results of one size. P50, P99 and Max are times until a change
// is installed on all serving hosts. Rates are per second of virtual time. Messages,
// bytes and processor time are per host. Processor time is that of the nodes' calls, in
// microseconds. Reads are those of all hosts. Bytes are sent bytes. Idle values are measured
// without changes and restarts. Values per change are the increase over idle divided by
// the rate of changes.
type Row struct {
	Seed               uint64
	Hosts              int
	Rate               float64 // configured changes a second
	Changes            int
	Unfinished         int // changes that are not installed everywhere at the end
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

// installTracker records when a change is installed on every serving instance.
type installTracker struct {
	fleet              *fleet
	committed          []time.Duration       // commit times by revision - 1
	pending            []int                 // serving instances that lack the change, by revision - 1
	installedRevisions []wigeonfork.Revision // by instance
	installTimes       []time.Duration
}

func newInstallTracker(f *fleet) *installTracker {
	t := &installTracker{fleet: f, installedRevisions: make([]wigeonfork.Revision, len(f.instances))}
	f.installed = t.installed
	return t
}

// commit writes a change to the table and counts the instances that have to install
// it. These are the serving ones.
func (t *installTracker) commit(key string, value []byte) {
	r := t.fleet.commit(key, value)
	pending := 0
	for i := range t.fleet.instances {
		if t.serves(i) {
			pending++
		}
	}
	for len(t.committed) < int(r) {
		t.committed = append(t.committed, 0)
		t.pending = append(t.pending, 0)
	}
	t.committed[r-1] = t.fleet.now
	t.pending[r-1] = pending
}

func (t *installTracker) serves(i int) bool {
	in := &t.fleet.instances[i]
	return !in.down && in.node.Serving()
}

func (t *installTracker) installed(i int, to wigeonfork.Revision) {
	if t.installedRevisions[i] >= to {
		return
	}
	from := t.installedRevisions[i]
	t.installedRevisions[i] = to
	t.markInstalled(from, to)
}

// markInstalled records that one instance has installed the revisions after from up
// to and including to.
func (t *installTracker) markInstalled(from, to wigeonfork.Revision) {
	for r := from; r < to && int(r) < len(t.pending); r++ {
		if t.pending[r] == 0 {
			continue
		}
		t.pending[r]--
		if t.pending[r] == 0 {
			t.installTimes = append(t.installTimes, t.fleet.now-t.committed[r])
		}
	}
}

// restart restarts instance i and stops waiting for it at all revisions that it has
// not installed. It does not serve again before it has installed them.
func (t *installTracker) restart(i int) {
	head := wigeonfork.Revision(len(t.fleet.table))
	if t.serves(i) {
		t.markInstalled(t.installedRevisions[i], head)
	}
	t.installedRevisions[i] = head
	t.fleet.restart(i)
}

func (t *installTracker) unfinished() int {
	count := 0
	for _, pending := range t.pending {
		if pending > 0 {
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

// measure measures one size, first idle and then with changes and restarts.
func measure(p plan, seed uint64) Row {
	f := newFleet(p.size, domainCount, seed, lossShare)
	for i := range itemCount {
		f.commit(itemKey(i), itemValue(i))
	}
	t := newInstallTracker(f)
	f.startAll()
	f.run(warmUp)
	idle := f.runPhase(p.duration/2, nil)
	busy := f.runPhase(p.duration, func(d time.Duration) { t.applyLoad(p, d) })
	f.run(f.now + settleTime)
	return t.row(p, seed, idle, busy)
}

// runPhase runs the fleet for d, with load if it is not nil, and returns the cost.
func (f *fleet) runPhase(d time.Duration, load func(time.Duration)) counters {
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

// applyLoad commits changes and restarts instances at random times until end.
func (t *installTracker) applyLoad(p plan, end time.Duration) {
	f := t.fleet
	restartRate := restartsPerHour / time.Hour.Seconds()
	change := f.now + f.randomInterval(p.changesPerSecond)
	restart := f.now + f.randomInterval(restartRate)
	for min(change, restart) < end {
		if change < restart {
			f.run(change)
			i := f.random.IntN(itemCount)
			t.commit(itemKey(i), itemValue(len(f.table)))
			change = f.now + f.randomInterval(p.changesPerSecond)
			continue
		}
		f.run(restart)
		if i := f.random.IntN(p.size); !f.instances[i].down {
			t.restart(i)
		}
		restart = f.now + f.randomInterval(restartRate)
	}
}

func (f *fleet) randomInterval(rate float64) time.Duration {
	return time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
}

func itemKey(i int) string { return fmt.Sprintf("d/deployment-%02d/w/workspace-%04d", i%10, i) }

func itemValue(n int) []byte {
	return fmt.Appendf(nil, "%-*d", itemBytes, n)
}

func (t *installTracker) row(p plan, seed uint64, idle, busy counters) Row {
	hosts := float64(p.size)
	seconds := p.duration.Seconds()
	idleSeconds := seconds / 2
	slices.Sort(t.installTimes)
	changes := len(t.installTimes) + t.unfinished()
	row := Row{
		Seed:          seed,
		Hosts:         p.size,
		Rate:          p.changesPerSecond,
		Changes:       changes,
		Unfinished:    t.unfinished(),
		P50:           quantile(t.installTimes, 0.50),
		P99:           quantile(t.installTimes, 0.99),
		Max:           quantile(t.installTimes, 1),
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
