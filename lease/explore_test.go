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

// exploreTicks bounds the time explored. A lease lasts 3 ticks.
var exploreTicks = flag.Int("explore.ticks", 3, "ticks of time to explore")

// decoded caches the records of row values.
var decoded = map[string]Record{}

func decode(row infra.Row) Record {
	record, known := decoded[string(row.Value)]
	if !known {
		record, _ = Decode(infra.Row{Revision: 1, Value: row.Value})
		decoded[string(row.Value)] = record
	}
	return record
}

// bounds limits an exploration: the ticks of time, the number of faults, the orders that each
// holder sends, and the requests that are open at a time.
type bounds struct {
	ticks, faults, orders, requests int
	// Each of these flags disables one safety mechanism.
	withoutGuard      bool
	withoutExpiryWait bool
	withoutMargin     bool
}

// tableRequest is a request of a holder to the table, or its reply if set.
type tableRequest struct {
	holder    int
	abandoned bool
	action    Action
	reply     Event
}

type exploreAgent struct {
	guard *Guard
	// reading says that a read of the row, with the number read, has not reached the guard yet.
	reading bool
	read    wigeonfork.FencingNumber
}

type appliedOperation struct {
	id       string
	revision infra.Revision
}

// modelState is one state of the explored system: two holders, the table, and an agent in front
// of two backend servers. Server 0 checks fencing numbers, server 1 ignores them. Agents share no
// state, so modelling one is enough.
type modelState struct {
	now        int
	holders    [2]Holder
	starts     [2]int
	row        infra.Row
	applied    []appliedOperation
	requests   []tableRequest
	orders     []wigeonfork.FencingNumber
	ordersSent [2]int
	agent      exploreAgent
	servers    [2]wigeonfork.FencingNumber
	senders    map[wigeonfork.FencingNumber]string
	faults     int
}

func exploreConfig(holder, start int) Config {
	return Config{
		Scope: exploreScope, Owner: fmt.Sprintf("h%d.%d", holder, start),
		Duration: 3, Margin: 1, RenewInterval: 1, PollInterval: 1, RetryInterval: 1,
	}
}

func newModelState() *modelState {
	w := &modelState{senders: map[wigeonfork.FencingNumber]string{}, row: infra.Row{Key: Key(exploreScope)}}
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

func (w *modelState) clone() *modelState {
	c := *w
	c.applied = append([]appliedOperation(nil), w.applied...)
	c.requests = append([]tableRequest(nil), w.requests...)
	c.orders = append([]wigeonfork.FencingNumber(nil), w.orders...)
	c.senders = make(map[wigeonfork.FencingNumber]string, len(w.senders))
	for n, owner := range w.senders {
		c.senders[n] = owner
	}
	c.agent.guard = NewGuard(1)
	if w.agent.guard.Learned(exploreScope) {
		c.agent.guard.Learn(exploreScope, w.agent.guard.Highest(exploreScope))
	}
	return &c
}

// clock returns the time of holder i. Holder 1 is one minute ahead.
func (w *modelState) clock(i int) time.Time {
	return time.Unix(int64(1000+60*i), int64(w.now))
}

func (w *modelState) step(i int, event Event) {
	for _, action := range w.holders[i].Step(w.clock(i), event) {
		switch action.(type) {
		case Read, Commit:
			w.requests = append(w.requests, tableRequest{holder: i, action: action})
		}
	}
}

// serveRequest makes the table handle request f.
func (w *modelState) serveRequest(f int) {
	switch a := w.requests[f].action.(type) {
	case Read:
		w.requests[f].reply = ReadDone{Row: w.row}
	case Commit:
		w.requests[f].reply = CommitDone{OperationID: a.Transaction.OperationID, Commit: w.commit(a.Transaction)}
	}
}

func (w *modelState) commit(tx infra.Transaction) infra.Commit {
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

func (w *modelState) removeRequest(f int) { w.requests = append(w.requests[:f:f], w.requests[f+1:]...) }

// deliverReply passes the reply of request f to its holder.
func (w *modelState) deliverReply(f int) {
	done := w.requests[f]
	w.removeRequest(f)
	w.step(done.holder, done.reply)
}

var errReplyLost = errors.New("reply lost")

// abandonRequest makes the holder stop waiting for request f. The table may still handle it.
func (w *modelState) abandonRequest(f int) {
	lost := w.requests[f]
	if lost.reply != nil {
		w.removeRequest(f)
	} else {
		w.requests[f].abandoned = true
	}
	switch a := lost.action.(type) {
	case Read:
		w.step(lost.holder, ReadDone{Err: errReplyLost})
	case Commit:
		w.step(lost.holder, CommitDone{OperationID: a.Transaction.OperationID, Err: errReplyLost})
	}
}

func (w *modelState) crashHolder(i int) {
	kept := w.requests[:0:0]
	for _, f := range w.requests {
		if f.holder == i && f.reply != nil {
			continue
		}
		f.abandoned = f.abandoned || f.holder == i
		kept = append(kept, f)
	}
	w.requests = kept
	w.starts[i]++
	h, _ := NewHolder(exploreConfig(i, w.starts[i]))
	w.holders[i] = *h
}

// sendOrder sends an order to the agent and checks that no other owner used its number.
func (w *modelState) sendOrder(i int) error {
	number, held := w.holders[i].Holds(w.clock(i))
	if !held {
		return nil
	}
	owner := w.holders[i].config.Owner
	if other := w.senders[number]; other != "" && other != owner {
		return errors.Newf("%s and %s both sent orders with number %d", other, owner, number)
	}
	w.senders[number] = owner
	w.ordersSent[i]++
	w.orders = append(w.orders, number)
	return nil
}

// handleOrder makes the agent handle order o.
func (w *modelState) handleOrder(o int, withoutGuard bool) error {
	order := w.orders[o]
	w.orders = append(w.orders[:o:o], w.orders[o+1:]...)
	applyOrder := func() error { return w.applyToServers(order) }
	if withoutGuard {
		return applyOrder()
	}
	var violation error
	_ = w.agent.guard.Do(exploreScope, order, func() error {
		violation = applyOrder()
		return violation
	})
	return violation
}

func (w *modelState) applyToServers(number wigeonfork.FencingNumber) error {
	const checkingServer = 0
	for i := range w.servers {
		if number >= w.servers[i] {
			w.servers[i] = number
			continue
		}
		if i != checkingServer {
			return errors.Newf("server %d carried out number %d after %d", i, number, w.servers[i])
		}
	}
	return nil
}

func (w *modelState) checkSingleHolder() error {
	_, first := w.holders[0].Holds(w.clock(0))
	_, second := w.holders[1].Holds(w.clock(1))
	if first && second {
		return errors.Newf("both hold at %d", w.now)
	}
	return nil
}

// key identifies the state. Operation ids and revisions are only compared, so the key contains
// the results of these comparisons instead of the values.
func (w *modelState) key() uint64 {
	k := keyWriter{w: w}
	k.num(int64(w.now), int64(w.faults), boolNum(w.row.Revision == 0))
	k.row(w.row)
	for i := range w.holders {
		k.holder(i)
	}
	k.num(int64(w.servers[0]), int64(w.servers[1]), int64(w.agent.guard.Highest(exploreScope)), int64(w.agent.read),
		boolNum(w.agent.guard.Learned(exploreScope)), boolNum(w.agent.reading))
	for _, f := range w.requests {
		k.request(f)
	}
	k.num(int64(len(w.orders)))
	for _, o := range w.orders {
		k.num(int64(o))
	}
	for n := wigeonfork.FencingNumber(1); int(n) <= len(w.senders)+1; n++ {
		k.str(w.senders[n])
	}
	return xxhash.Sum64(k.b)
}

type keyWriter struct {
	w *modelState
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
	// All times before oldest have the same effect, so they share one value. Times are relative to
	// now.
	offset := func(t time.Time, oldest int64) int64 {
		if t.IsZero() {
			return oldest
		}
		return max(oldest, int64(t.Sub(k.w.clock(i))))
	}
	oldest := -int64(h.config.Duration)
	k.num(int64(h.role), boolNum(h.inFlight), offset(h.nextAttempt, 0), int64(k.w.starts[i]), int64(k.w.ordersSent[i]))
	k.num(int64(k.w.row.Revision-h.revision), boolNum(h.revision == 0), offset(h.revisionSeenAt, oldest))
	k.record(h.lastRecord)
	k.num(boolNum(h.pending.operation != ""))
	if h.pending.operation != "" {
		k.num(int64(k.w.row.Revision-h.pending.condition), offset(h.pending.firstSent, oldest))
		k.wasApplied(h.pending.operation)
		k.record(h.pending.record)
	}
	if h.role == roleHolding {
		k.num(int64(h.fencing), offset(h.validUntil, 0), offset(h.renewAt, 0))
	}
}

func (k *keyWriter) request(f tableRequest) {
	k.num(int64(f.holder), boolNum(f.abandoned), boolNum(f.reply != nil))
	if c, isCommit := f.action.(Commit); isCommit {
		k.wasApplied(c.Transaction.OperationID)
		k.num(int64(k.w.row.Revision - c.Transaction.Conditions[0].Revision))
		k.row(infra.Row{Revision: k.w.row.Revision, Value: c.Transaction.Writes[0].Value})
	}
	switch e := f.reply.(type) {
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

// explorer visits every state that is reachable within its bounds.
type explorer struct {
	bounds bounds
	seen   map[uint64]struct{}
	queue  []*modelState
	orders int
}

func (x *explorer) push(w *modelState) {
	key := w.key()
	if _, known := x.seen[key]; known {
		return
	}
	x.seen[key] = struct{}{}
	x.queue = append(x.queue, w)
}

func explore(b bounds) (states, orders int, violation error) {
	x := &explorer{bounds: b, seen: map[uint64]struct{}{}}
	x.push(newModelState())
	for len(x.queue) > 0 {
		w := x.queue[len(x.queue)-1]
		x.queue = x.queue[:len(x.queue)-1]
		if err := x.expand(w); err != nil {
			return len(x.seen), x.orders, err
		}
	}
	return len(x.seen), x.orders, nil
}

// expand pushes all successors of w.
func (x *explorer) expand(w *modelState) error {
	if w.now < x.bounds.ticks {
		next := w.clone()
		next.now++
		x.push(next)
	}
	if err := w.checkSingleHolder(); err != nil {
		return err
	}
	for i := range w.holders {
		if err := x.expandHolder(w, i); err != nil {
			return err
		}
	}
	x.expandAgent(w)
	x.expandRequests(w)
	for o := range w.orders {
		next := w.clone()
		if err := next.handleOrder(o, x.bounds.withoutGuard); err != nil {
			return err
		}
		x.push(next)
	}
	return nil
}

func (x *explorer) expandHolder(w *modelState, i int) error {
	if len(w.requests) < x.bounds.requests {
		next := w.clone()
		if x.bounds.withoutExpiryWait {
			next.holders[i].revisionSeenAt = next.clock(i).Add(-time.Hour)
		}
		if x.bounds.withoutMargin {
			next.holders[i].config.Margin = -1
		}
		next.step(i, Tick{})
		x.push(next)
	}
	if w.ordersSent[i] < x.bounds.orders {
		next := w.clone()
		if err := next.sendOrder(i); err != nil {
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

// expandAgent restarts an agent that has learned the number, or lets it learn the number again.
func (x *explorer) expandAgent(w *modelState) {
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

// expandRequests serves requests and delivers replies. A reply that is delayed or lost is a fault.
func (x *explorer) expandRequests(w *modelState) {
	for f, current := range w.requests {
		next := w.clone()
		switch {
		case current.abandoned:
			next.serveRequest(f)
			next.removeRequest(f)
		case current.reply == nil:
			next.serveRequest(f)
			next.deliverReply(f)
		default:
			next.deliverReply(f)
		}
		x.push(next)
		if current.abandoned || current.reply != nil || w.faults >= x.bounds.faults {
			continue
		}
		delayed := w.clone()
		delayed.faults++
		delayed.serveRequest(f)
		x.push(delayed)
		lost := delayed.clone()
		lost.abandonRequest(f)
		x.push(lost)
		notServed := w.clone()
		notServed.faults++
		notServed.abandonRequest(f)
		x.push(notServed)
	}
}

// TestLeaseHoldsInEveryInterleaving visits every interleaving of two holders, one of them with its
// clock a minute ahead, and an agent. It includes pauses of any length, crashes, delayed requests
// and lost replies.
func TestLeaseHoldsInEveryInterleaving(t *testing.T) {
	bound := bounds{ticks: *exploreTicks, faults: 1, orders: 1, requests: 3}
	Convey("No interleaving applies an order with an old fencing number", t, func() {
		states, orders, violation := explore(bound)
		t.Logf("%d states, %d orders sent", states, orders)
		So(violation, ShouldBeNil)
		So(orders, ShouldBeGreaterThan, 0)
	})
	Convey("Without the guard a violation is found", t, func() {
		bound := bound
		bound.withoutGuard = true
		states, _, violation := explore(bound)
		t.Logf("%d states until: %v", states, violation)
		So(violation, ShouldNotBeNil)
		So(violation.Error(), ShouldContainSubstring, "server 1 carried out")
	})
	Convey("Without the wait for the lease to expire a violation is found", t, func() {
		bound := bound
		bound.withoutExpiryWait = true
		states, _, violation := explore(bound)
		t.Logf("%d states until: %v", states, violation)
		So(violation, ShouldNotBeNil)
		So(violation.Error(), ShouldContainSubstring, "both hold")
	})
	Convey("Without a safe margin a violation is found", t, func() {
		bound := bound
		bound.withoutMargin = true
		states, _, violation := explore(bound)
		t.Logf("%d states until: %v", states, violation)
		So(violation, ShouldNotBeNil)
		So(violation.Error(), ShouldContainSubstring, "both hold")
	})
}
