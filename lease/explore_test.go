package lease

import (
	"encoding/binary"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

const exploreScope = "d"

// exploreTicks bounds the time explored; a lease lasts 3 ticks.
var exploreTicks = flag.Int("explore.ticks", 3, "ticks of time to explore")

// decoded remembers the records that rows hold.
var decoded = map[string]Record{}

func decode(row infra.Row) Record {
	record, known := decoded[string(row.Value)]
	if !known {
		record, _ = Decode(infra.Row{Revision: 1, Value: row.Value})
		decoded[string(row.Value)] = record
	}
	return record
}

// bounds limits an exploration.
type bounds struct {
	ticks, faults, orders, requests int
	// serverChecks: the one backend server checks fencing numbers.
	guardOff        bool
	skipObservation bool
	withoutMargin   bool
}

// flight is a request between a holder and the table.
type flight struct {
	holder   int
	orphan   bool
	action   Action
	answered Event
}

type exploreAgent struct {
	guard *Guard
	// reading is the row read to learn from, still on its way.
	reading bool
	read    wigeonfork.FencingNumber
}

type appliedOperation struct {
	id       string
	revision infra.Revision
}

// world is one state of two holders, the table, and an agent before two
// backend servers: server 0 checks fencing numbers, server 1 ignores them.
// Agents share nothing, so one stands for each of them.
type world struct {
	now     int
	holders [2]Holder
	starts  [2]int
	row     infra.Row
	applied []appliedOperation
	flights []flight
	orders  []wigeonfork.FencingNumber
	sent    [2]int
	agent   exploreAgent
	servers [2]wigeonfork.FencingNumber
	givenBy map[wigeonfork.FencingNumber]string
	faults  int
}

func exploreConfig(holder, start int) Config {
	return Config{
		Scope: exploreScope, Owner: fmt.Sprintf("h%d.%d", holder, start),
		Duration: 3, Margin: 1, RenewInterval: 1, PollInterval: 1, RetryInterval: 1,
	}
}

func newWorld() *world {
	w := &world{givenBy: map[wigeonfork.FencingNumber]string{}, row: infra.Row{Key: Key(exploreScope)}}
	for i := range w.holders {
		h, err := NewHolder(exploreConfig(i, 0))
		if err != nil {
			panic(err)
		}
		w.holders[i] = *h
	}
	w.agent.guard = NewGuard(1)
	w.agent.guard.Learn(exploreScope, 0)
	return w
}

func (w *world) clone() *world {
	c := *w
	c.applied = append([]appliedOperation(nil), w.applied...)
	c.flights = append([]flight(nil), w.flights...)
	c.orders = append([]wigeonfork.FencingNumber(nil), w.orders...)
	c.givenBy = make(map[wigeonfork.FencingNumber]string, len(w.givenBy))
	for n, owner := range w.givenBy {
		c.givenBy[n] = owner
	}
	c.agent.guard = NewGuard(1)
	if w.agent.guard.Learned(exploreScope) {
		c.agent.guard.Learn(exploreScope, w.agent.guard.Highest(exploreScope))
	}
	return &c
}

// clock gives holder i's own time; holder 1 is a minute ahead.
func (w *world) clock(i int) time.Time {
	return time.Unix(int64(1000+60*i), int64(w.now))
}

func (w *world) step(i int, event Event) {
	for _, action := range w.holders[i].Step(w.clock(i), event) {
		switch action.(type) {
		case Read, Commit:
			w.flights = append(w.flights, flight{holder: i, action: action})
		}
	}
}

// serve lets the table carry out flight f.
func (w *world) serve(f int) {
	switch a := w.flights[f].action.(type) {
	case Read:
		w.flights[f].answered = ReadDone{Row: w.row}
	case Commit:
		w.flights[f].answered = CommitDone{OperationID: a.Transaction.OperationID, Commit: w.commit(a.Transaction)}
	}
}

func (w *world) commit(tx infra.Transaction) infra.Commit {
	for _, done := range w.applied {
		if done.id == tx.OperationID {
			return infra.Commit{Applied: true, Revision: done.revision}
		}
	}
	if tx.Conditions[0].Revision != w.row.Revision {
		return infra.Commit{Revision: w.row.Revision, Conflicts: []infra.Row{w.row}}
	}
	w.row.Revision++
	w.row.Value = tx.Writes[0].Value
	w.applied = append(w.applied, appliedOperation{id: tx.OperationID, revision: w.row.Revision})
	return infra.Commit{Applied: true, Revision: w.row.Revision}
}

func (w *world) drop(f int) { w.flights = append(w.flights[:f:f], w.flights[f+1:]...) }

// deliver hands the answer of flight f to its holder.
func (w *world) deliver(f int) {
	done := w.flights[f]
	w.drop(f)
	w.step(done.holder, done.answered)
}

var errLost = errors.New("answer lost")

// lose makes the holder give flight f up; the request may still be served.
func (w *world) lose(f int) {
	lost := w.flights[f]
	if lost.answered != nil {
		w.drop(f)
	} else {
		w.flights[f].orphan = true
	}
	switch a := lost.action.(type) {
	case Read:
		w.step(lost.holder, ReadDone{Err: errLost})
	case Commit:
		w.step(lost.holder, CommitDone{OperationID: a.Transaction.OperationID, Err: errLost})
	}
}

func (w *world) crashHolder(i int) {
	kept := w.flights[:0:0]
	for _, f := range w.flights {
		if f.holder == i && f.answered != nil {
			continue
		}
		f.orphan = f.orphan || f.holder == i
		kept = append(kept, f)
	}
	w.flights = kept
	w.starts[i]++
	h, _ := NewHolder(exploreConfig(i, w.starts[i]))
	w.holders[i] = *h
}

// give sends an order to the agent and checks who used its number.
func (w *world) give(i int) error {
	number, held := w.holders[i].Holds(w.clock(i))
	if !held {
		return nil
	}
	owner := w.holders[i].config.Owner
	if by := w.givenBy[number]; by != "" && by != owner {
		return errors.Newf("%s and %s both gave orders with number %d", by, owner, number)
	}
	w.givenBy[number] = owner
	w.sent[i]++
	w.orders = append(w.orders, number)
	return nil
}

// receive lets the agent handle order o.
func (w *world) receive(o int, guardOff bool) error {
	order := w.orders[o]
	w.orders = append(w.orders[:o:o], w.orders[o+1:]...)
	apply := func() error { return w.carryOut(order) }
	if guardOff {
		return apply()
	}
	var broken error
	_ = w.agent.guard.Do(exploreScope, order, func() error {
		broken = apply()
		return broken
	})
	return broken
}

func (w *world) carryOut(number wigeonfork.FencingNumber) error {
	const checks = 0
	for i := range w.servers {
		if number >= w.servers[i] {
			w.servers[i] = number
			continue
		}
		if i != checks {
			return errors.Newf("server %d carried out number %d after %d", i, number, w.servers[i])
		}
	}
	return nil
}

func (w *world) twoHold() error {
	_, first := w.holders[0].Holds(w.clock(0))
	_, second := w.holders[1].Holds(w.clock(1))
	if first && second {
		return errors.Newf("both hold at %d", w.now)
	}
	return nil
}

// key identifies the state. Operation ids and revisions are only ever compared
// for equality, so the key holds how they compare instead of what they are.
func (w *world) key() uint64 {
	k := keyWriter{w: w}
	k.num(int64(w.now), int64(w.faults), boolNum(w.row.Revision == 0))
	k.row(w.row)
	for i := range w.holders {
		k.holder(i)
	}
	k.num(int64(w.servers[0]), int64(w.servers[1]), int64(w.agent.guard.Highest(exploreScope)), int64(w.agent.read),
		boolNum(w.agent.guard.Learned(exploreScope)), boolNum(w.agent.reading))
	for _, f := range w.flights {
		k.flight(f)
	}
	k.num(int64(len(w.orders)))
	for _, o := range w.orders {
		k.num(int64(o))
	}
	for n := wigeonfork.FencingNumber(1); int(n) <= len(w.givenBy)+1; n++ {
		k.str(w.givenBy[n])
	}
	return xxhash.Sum64(k.b)
}

type keyWriter struct {
	w *world
	b []byte
}

func (k *keyWriter) num(values ...int64) {
	for _, v := range values {
		k.b = binary.AppendVarint(k.b, v)
	}
}

func (k *keyWriter) str(s string) { k.b = append(append(k.b, s...), 0) }

func (k *keyWriter) record(r Record) {
	k.str(r.Owner)
	k.num(int64(r.Fencing), boolNum(r.Released))
	for i := range k.w.holders {
		k.num(boolNum(r.Operation == k.w.holders[i].pending.operation))
	}
}

func (k *keyWriter) row(row infra.Row) {
	k.num(int64(k.w.row.Revision - row.Revision))
	k.record(decode(row))
}

func (k *keyWriter) wasApplied(id string) {
	for _, done := range k.w.applied {
		if done.id == id {
			k.num(1, int64(k.w.row.Revision-done.revision))
			return
		}
	}
	k.num(0)
}

func (k *keyWriter) holder(i int) {
	h := &k.w.holders[i]
	// Times that differ only in how far they lie back act alike.
	at := func(t time.Time, oldest int64) int64 {
		if t.IsZero() {
			return oldest
		}
		return max(oldest, int64(t.Sub(k.w.clock(i))))
	}
	past := -int64(h.config.Duration)
	k.num(int64(h.role), boolNum(h.busy), at(h.nextTry, 0), int64(k.w.starts[i]), int64(k.w.sent[i]))
	k.num(int64(k.w.row.Revision-h.revision), boolNum(h.revision == 0), at(h.seenAt, past))
	k.record(h.seen)
	k.num(boolNum(h.pending.operation != ""))
	if h.pending.operation != "" {
		k.num(int64(k.w.row.Revision-h.pending.condition), at(h.pending.firstSent, past))
		k.wasApplied(h.pending.operation)
		k.record(h.pending.record)
	}
	if h.role == roleHolding {
		k.num(int64(h.fencing), at(h.validUntil, 0), at(h.renewAt, 0))
	}
}

func (k *keyWriter) flight(f flight) {
	k.num(int64(f.holder), boolNum(f.orphan), boolNum(f.answered != nil))
	if c, isCommit := f.action.(Commit); isCommit {
		k.wasApplied(c.Transaction.OperationID)
		k.num(int64(k.w.row.Revision - c.Transaction.Conditions[0].Revision))
		k.row(infra.Row{Revision: k.w.row.Revision, Value: c.Transaction.Writes[0].Value})
	}
	switch e := f.answered.(type) {
	case ReadDone:
		k.row(e.Row)
	case CommitDone:
		k.num(int64(k.w.row.Revision-e.Commit.Revision), boolNum(e.Commit.Applied))
		for _, row := range e.Commit.Conflicts {
			k.row(row)
		}
	}
}

func boolNum(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// explorer visits every state that can be reached within its bounds.
type explorer struct {
	bounds bounds
	seen   map[uint64]struct{}
	queue  []*world
	orders int
}

func (x *explorer) push(w *world) {
	key := w.key()
	if _, known := x.seen[key]; known {
		return
	}
	x.seen[key] = struct{}{}
	x.queue = append(x.queue, w)
}

func explore(b bounds) (states, orders int, broken error) {
	x := &explorer{bounds: b, seen: map[uint64]struct{}{}}
	x.push(newWorld())
	for len(x.queue) > 0 {
		w := x.queue[len(x.queue)-1]
		x.queue = x.queue[:len(x.queue)-1]
		if err := x.expand(w); err != nil {
			return len(x.seen), x.orders, err
		}
	}
	return len(x.seen), x.orders, nil
}

// expand pushes all states that follow from w.
func (x *explorer) expand(w *world) error {
	if w.now < x.bounds.ticks {
		next := w.clone()
		next.now++
		x.push(next)
	}
	if err := w.twoHold(); err != nil {
		return err
	}
	for i := range w.holders {
		if err := x.expandHolder(w, i); err != nil {
			return err
		}
	}
	x.expandAgent(w)
	x.expandFlights(w)
	for o := range w.orders {
		next := w.clone()
		if err := next.receive(o, x.bounds.guardOff); err != nil {
			return err
		}
		x.push(next)
	}
	return nil
}

func (x *explorer) expandHolder(w *world, i int) error {
	if len(w.flights) < x.bounds.requests {
		next := w.clone()
		if x.bounds.skipObservation {
			next.holders[i].seenAt = next.clock(i).Add(-time.Hour)
		}
		if x.bounds.withoutMargin {
			next.holders[i].config.Margin = -1
		}
		next.step(i, Tick{})
		x.push(next)
	}
	if w.sent[i] < x.bounds.orders {
		next := w.clone()
		if err := next.give(i); err != nil {
			return err
		}
		x.orders += len(next.orders) - len(w.orders)
		x.push(next)
	}
	if w.faults < x.bounds.faults {
		next := w.clone()
		next.faults++
		next.crashHolder(i)
		x.push(next)
	}
	return nil
}

// expandAgent restarts an agent, or lets it learn the number again.
func (x *explorer) expandAgent(w *world) {
	if w.agent.guard.Learned(exploreScope) {
		if w.faults >= x.bounds.faults {
			return
		}
		next := w.clone()
		next.faults++
		next.agent = exploreAgent{guard: NewGuard(1)}
		x.push(next)
		return
	}
	next := w.clone()
	if w.agent.reading {
		next.agent.guard.Learn(exploreScope, w.agent.read)
		next.agent.reading = false
		next.agent.read = 0
	} else {
		record := decode(w.row)
		next.agent.reading = true
		next.agent.read = record.Fencing
	}
	x.push(next)
}

// expandFlights serves requests and delivers answers. An answer that is held
// up, or lost, is a fault.
func (x *explorer) expandFlights(w *world) {
	for f, current := range w.flights {
		next := w.clone()
		switch {
		case current.orphan:
			next.serve(f)
			next.drop(f)
		case current.answered == nil:
			next.serve(f)
			next.deliver(f)
		default:
			next.deliver(f)
		}
		x.push(next)
		if current.orphan || current.answered != nil || w.faults >= x.bounds.faults {
			continue
		}
		late := w.clone()
		late.faults++
		late.serve(f)
		x.push(late)
		lost := late.clone()
		lost.lose(f)
		x.push(lost)
		unsent := w.clone()
		unsent.faults++
		unsent.lose(f)
		x.push(unsent)
	}
}

// TestLeaseExplored visits every interleaving of two holders, one of them a
// minute ahead, and two agents, with pauses of any length, crashes, requests
// that arrive late and answers that are lost.
func TestLeaseExplored(t *testing.T) {
	bound := bounds{ticks: *exploreTicks, faults: 1, orders: 1, requests: 3}
	Convey("No order with an old number is carried out in any interleaving", t, func() {
		states, orders, broken := explore(bound)
		t.Logf("%d states, %d orders given", states, orders)
		So(broken, ShouldBeNil)
		So(orders, ShouldBeGreaterThan, 0)
	})
	Convey("The same exploration finds a missing guard", t, func() {
		bound := bound
		bound.guardOff = true
		states, _, broken := explore(bound)
		t.Logf("%d states until: %v", states, broken)
		So(broken, ShouldNotBeNil)
		So(broken.Error(), ShouldContainSubstring, "server 1 carried out")
	})
	Convey("It finds an observer that does not wait for the lease to lapse", t, func() {
		bound := bound
		bound.skipObservation = true
		states, _, broken := explore(bound)
		t.Logf("%d states until: %v", states, broken)
		So(broken, ShouldNotBeNil)
		So(broken.Error(), ShouldContainSubstring, "both hold")
	})
	Convey("It finds a holder that trusts its lease for longer than it lasts", t, func() {
		bound := bound
		bound.withoutMargin = true
		states, _, broken := explore(bound)
		t.Logf("%d states until: %v", states, broken)
		So(broken, ShouldNotBeNil)
		So(broken.Error(), ShouldContainSubstring, "both hold")
	})
}
