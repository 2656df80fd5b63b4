package gateway

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/storepos"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

var rowSeeds = flag.Uint64("moves-in-row-seeds", 30, "schedules of orders in a row that are played of each kind")

const (
	rowService  wigeonfork.Model = "s"
	rowServers                   = 3
	rowDuration                  = 10 * time.Second
	rowTick                      = 50 * time.Millisecond
	// rowRate is the number of requests per gateway and tick.
	rowRate = 2
	// lingerMin and lingerMax bound the time for which the rows of servers that ended without a word remain.
	lingerMin, lingerMax = 300 * time.Millisecond, 3600 * time.Millisecond
	// rowSettle is the time within which all gateways use the version in service after the last order, end of a move or
	// fault.
	rowSettle = 1500 * time.Millisecond
	// rowPatience is the time after an order within which its move ends, also with faults.
	rowPatience = 90 * time.Second
	// rowShare and rowSlack are the exposure limits.
	rowShare, rowSlack = 0.1, 50
	// storeDelay is the time that a call to the store takes, and maxReportDelay that of a report to a peer.
	storeDelay     = 5 * time.Millisecond
	maxReportDelay = 60 * time.Millisecond
)

var errStoreAway = errors.New("the store is away")

// rowStore keeps the state of the moves of one service.
type rowStore struct {
	began time.Time

	mu       sync.Mutex
	revision uint64
	stored   StoredMove
	// cutUntil is the end of the time for which the store is away for a host.
	cutUntil map[wigeonfork.HostID]time.Time
}

// isAway reports whether the store is away for a host.
func (s *rowStore) isAway(host wigeonfork.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.cutUntil[host])
}

func (s *rowStore) cut(host wigeonfork.HostID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutUntil[host] = until
}

// nextRevision returns the revision of a write by the operator.
func (s *rowStore) nextRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	return s.revision
}

func (s *rowStore) state() StoredMove {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.stored
	stored.Now = time.Since(s.began)
	return stored
}

// rowStoreClient is the store as seen from one gateway.
type rowStoreClient struct {
	*rowStore
	host wigeonfork.HostID
}

func (c rowStoreClient) ReadMove(_ context.Context, _ wigeonfork.Model) (StoredMove, error) {
	time.Sleep(storeDelay)
	if c.isAway(c.host) {
		return StoredMove{}, errStoreAway
	}
	return c.state(), nil
}

func (c rowStoreClient) WriteMove(_ context.Context, _ wigeonfork.Model, state StoredMove, at storepos.Position) error {
	time.Sleep(storeDelay)
	if c.isAway(c.host) {
		return errStoreAway
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stored.Position != at {
		return ErrConditionFailed
	}
	c.revision++
	state.Position = storepos.Position{Revision: c.revision}
	c.stored = state
	return nil
}

// rowVersion is a version of the service, with its servers.
type rowVersion struct {
	name wigeonfork.Version
	bad  bool
	// endsAt is when its servers end, zero while that is not known. Their rows go at goneAt.
	endsAt, goneAt time.Time
}

func (v *rowVersion) runs(now time.Time) bool { return v.endsAt.IsZero() || now.Before(v.endsAt) }

// rowGateway is a gateway with its faults.
type rowGateway struct {
	*Gateway
	writers moveWriters
	host    wigeonfork.HostID
	// heardOrder is the newest order that was read, and frozenUntil when it goes on.
	heardOrder  int
	frozenUntil time.Time
	registered  map[wigeonfork.BackendServerID]bool
}

// rowOrder is an order with what the operator has seen of its move.
type rowOrder struct {
	rollout.MoveOrder
	bad     bool
	givenAt time.Time
	ended   bool
	// sent counts the requests since the order, and toVersion those to its version.
	sent, toVersion int
}

// rowFaults says which faults a schedule draws.
type rowFaults struct {
	kills, freezes, store, losses, replaced bool
	// absences are freezes that last beyond the time for which peers report on a move that has ended.
	absences bool
}

// rowWorld plays orders for one service at several gateways in virtual time.
type rowWorld struct {
	t        *testing.T
	random   *rand.Rand
	faults   rowFaults
	store    *rowStore
	gateways []*rowGateway
	versions []*rowVersion
	orders   []*rowOrder
	// inService is the version that the operator takes for in service.
	inService *rowVersion
	// calmSince is the time of the last order, end of a move or fault.
	calmSince time.Time
	nextOrder time.Time
	reports   []rowReport
	problems  []string
}

func newRowWorld(t *testing.T, seed uint64, faults rowFaults) *rowWorld {
	w := &rowWorld{t: t, random: rand.New(rand.NewPCG(seed, 11)), faults: faults}
	w.store = &rowStore{cutUntil: make(map[wigeonfork.HostID]time.Time), began: time.Now()}
	w.inService = w.addVersion(false)
	for i := range 2 + w.random.IntN(3) {
		w.gateways = append(w.gateways, w.startGateway(i))
	}
	w.calmSince, w.nextOrder = time.Now(), time.Now().Add(3*time.Second)
	return w
}

func (w *rowWorld) addVersion(bad bool) *rowVersion {
	v := &rowVersion{name: wigeonfork.Version(fmt.Sprintf("v%d", len(w.versions)+1)), bad: bad}
	w.versions = append(w.versions, v)
	return v
}

func (w *rowWorld) startGateway(i int) *rowGateway {
	g := &rowGateway{host: wigeonfork.HostID(fmt.Sprintf("h%d", i)), writers: make(moveWriters), registered: make(map[wigeonfork.BackendServerID]bool)}
	bounds := DefaultBounds()
	bounds.ExposureShare, bounds.ExposureSlack = rowShare, rowSlack
	g.Gateway = New(Options{
		Host: g.host, Domain: "a", Bounds: bounds, Log: telemetry.Discard(), Metrics: telemetry.NewRegistry(), Moves: rowStoreClient{w.store, g.host},
	})
	g.moves.setEntries(4)
	g.moves.rank = func() int { return i }
	g.moves.send = func(u *loadshare.MoveUpdate) { w.tell(g, u) }
	return g
}

func (w *rowWorld) end(g *rowGateway) {
	g.stop()
	g.wait.Wait()
	g.pool.Close()
}

// rowReport is a report that arrives at a gateway.
type rowReport struct {
	at     time.Time
	to     *rowGateway
	update loadshare.MoveUpdate
}

// tell sends a report to the peers.
func (w *rowWorld) tell(from *rowGateway, u *loadshare.MoveUpdate) {
	for _, g := range w.gateways {
		if g == from || w.faults.losses && w.random.Float64() < 0.3 {
			continue
		}
		delay := time.Duration(w.random.Int64N(int64(maxReportDelay)))
		w.reports = append(w.reports, rowReport{at: time.Now().Add(delay), to: g, update: *u})
	}
}

// deliver delivers the reports that have arrived. A gateway that is frozen or has ended gets none.
func (w *rowWorld) deliver(now time.Time) {
	reports := w.reports
	w.reports = nil
	for _, r := range reports {
		switch {
		case r.at.After(now):
			w.reports = append(w.reports, r)
		case slices.Contains(w.gateways, r.to) && !r.to.isFrozen():
			r.to.moves.handleUpdate(now, &r.update)
		}
	}
}

func (g *rowGateway) isFrozen() bool { return time.Now().Before(g.frozenUntil) }

// play gives the orders one after another, and checks the gateways whenever they have had time to settle.
func (w *rowWorld) play(orders int) {
	for {
		time.Sleep(rowTick)
		now := time.Now()
		w.deliver(now)
		if !w.isOver(orders) {
			w.disturb(now)
		}
		for _, g := range w.gateways {
			if !g.isFrozen() {
				w.step(now, g)
			}
		}
		w.operate(time.Now(), orders)
		calm := now.Sub(w.calmSince)
		if calm > rowSettle {
			w.check()
		}
		if w.isOver(orders) && calm > 2*rowSettle {
			break
		}
		if last := w.lastOrder(); last != nil && now.Sub(last.givenAt) > rowPatience {
			w.fail("the move of order %d has no end", len(w.orders))
			break
		}
	}
	for _, g := range w.gateways {
		w.end(g)
	}
}

func (w *rowWorld) fail(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// lastOrder returns the last order that was given, or nil.
func (w *rowWorld) lastOrder() *rowOrder {
	if len(w.orders) == 0 {
		return nil
	}
	return w.orders[len(w.orders)-1]
}

// isOver reports whether the move of the last of so many orders has ended.
func (w *rowWorld) isOver(orders int) bool { return len(w.orders) == orders && w.lastOrder().ended }

// operate reads the state of the last move as the operator does, and gives the next order.
func (w *rowWorld) operate(now time.Time, orders int) {
	last := w.lastOrder()
	if last != nil && !last.ended && w.store.state().To == last.To && w.store.state().State > MoveRunning {
		w.ended(now, last)
	}
	replaces := last != nil && !last.ended && w.faults.replaced && now.Sub(last.givenAt) > 4*time.Second && w.random.Float64() < 0.01
	if len(w.orders) < orders && (last == nil || last.ended || replaces) && now.After(w.nextOrder) {
		w.order(now)
	}
}

// ended does what the operator does at the end of a move: the old servers end at once, or the new ones soon.
func (w *rowWorld) ended(now time.Time, o *rowOrder) {
	o.ended = true
	w.disturbedUntil(now)
	version := w.version(o.To)
	if w.store.state().State == MoveCompleted {
		if o.bad {
			w.fail("the bad version %s is completed", o.To)
		}
		for _, v := range w.versions {
			if v != version && v.endsAt.IsZero() {
				v.endsAt, v.goneAt = now, now.Add(w.linger())
			}
		}
		w.inService = version
	} else {
		version.endsAt = now.Add(2 * time.Second)
		version.goneAt = version.endsAt
	}
	w.nextOrder = now
	if w.random.IntN(4) == 0 {
		w.nextOrder = now.Add(time.Duration(w.random.IntN(6000)) * time.Millisecond)
	}
}

func (w *rowWorld) linger() time.Duration {
	return lingerMin + time.Duration(w.random.Int64N(int64(lingerMax-lingerMin)))
}

func (w *rowWorld) version(name wigeonfork.Version) *rowVersion {
	for _, v := range w.versions {
		if v.name == name {
			return v
		}
	}
	return nil
}

func (w *rowWorld) order(now time.Time) {
	v := w.addVersion(w.random.IntN(2) == 0)
	at := storepos.Position{Revision: w.store.nextRevision()}
	w.orders = append(w.orders, &rowOrder{
		MoveOrder: rollout.MoveOrder{Service: rowService, To: v.name, Duration: rowDuration, Position: at}, bad: v.bad, givenAt: now,
	})
	w.disturbedUntil(now)
}

// disturb begins a fault now and then.
func (w *rowWorld) disturb(now time.Time) {
	i := w.random.IntN(len(w.gateways))
	g := w.gateways[i]
	if w.random.IntN(60) != 0 || g.isFrozen() {
		return
	}
	length := time.Duration(500+w.random.IntN(5000)) * time.Millisecond
	switch w.random.IntN(4) {
	case 0:
		if w.faults.kills {
			w.end(g)
			w.gateways[i] = w.startGateway(i)
			length = 0
		}
	case 1:
		if w.faults.absences {
			length += rowDuration + moveMemory
		}
		if w.faults.freezes {
			g.frozenUntil = now.Add(length)
		}
	default:
		if w.faults.store {
			w.cutStore(g.host, length)
		}
	}
	w.disturbedUntil(now.Add(length))
}

// disturbedUntil records that a fault lasts until a time.
func (w *rowWorld) disturbedUntil(end time.Time) {
	if end.After(w.calmSince) {
		w.calmSince = end
	}
}

// cutStore cuts one gateway, or half of the times all of them, from the store.
func (w *rowWorld) cutStore(host wigeonfork.HostID, length time.Duration) {
	hosts := []wigeonfork.HostID{host}
	if w.random.IntN(2) == 0 {
		hosts = hosts[:0]
		for _, g := range w.gateways {
			hosts = append(hosts, g.host)
		}
	}
	for _, h := range hosts {
		w.store.cut(h, time.Now().Add(length))
	}
}

// step lets a gateway read orders and servers, serve requests and step its move.
func (w *rowWorld) step(now time.Time, g *rowGateway) {
	if !w.store.isAway(g.host) {
		w.readServers(now, g)
		if n := len(w.orders); n > g.heardOrder {
			g.heardOrder = n
			g.moves.observeOrders([]rollout.MoveOrder{w.orders[n-1].MoveOrder})
		}
	}
	for range rowRate {
		w.request(now, g)
	}
	g.moves.followOnce(now)
	g.moves.writeOnce(g.writers)
}

func (w *rowWorld) readServers(now time.Time, g *rowGateway) {
	var changes []directory.Change
	for _, v := range w.versions {
		for n := range rowServers {
			id := wigeonfork.BackendServerID(fmt.Sprintf("%s-%d", v.name, n))
			isGone := !v.goneAt.IsZero() && now.After(v.goneAt)
			if g.registered[id] == !isGone {
				continue
			}
			g.registered[id] = !isGone
			entry := directory.Entry{ID: id, Service: rowService, Version: v.name, Address: string(id), Domain: wigeonfork.FailureDomain(id), Slots: 100}
			changes = append(changes, directory.Change{Entry: entry, Removed: isGone})
		}
	}
	g.fleet.applyChanges(now, changes)
}

// request sends one request, which tries another server if one has ended, and returns whether it is served.
func (w *rowWorld) request(now time.Time, g *rowGateway) (served *rowVersion) {
	for range rowServers + 1 {
		place, err := g.fleet.choose(now, &query{service: rowService})
		if err != nil {
			return nil
		}
		version := w.version(place.Version)
		if !version.runs(now) {
			g.fleet.failed(now, place, routing.Work{})
			g.fleet.markLost(now, place.ID, "connect")
			continue
		}
		g.fleet.finished(now, place, routing.Work{}, routing.Result{})
		w.answer(g, place, version)
		return version
	}
	return nil
}

// answer counts the answer of a request.
func (w *rowWorld) answer(g *rowGateway, place *placement, version *rowVersion) {
	failed := version.bad && w.random.Float64() < 0.6
	g.moves.answered(place, "r", failed)
	if move := g.moves.moves[rowService]; move != nil && !failed {
		move.Timed(place.Version, "r", false)
	}
	if last := w.lastOrder(); last != nil {
		last.sent++
		if place.Version == last.To {
			last.toVersion++
		}
	}
}

// check checks that each gateway sends its requests to the version in service, but for those of a trial.
func (w *rowWorld) check() {
	now := time.Now()
	for _, g := range w.gateways {
		if g.isFrozen() || w.store.isAway(g.host) {
			continue
		}
		preference := g.moves.preference(rowService)
		if len(preference) > 0 && preference[len(preference)-1] != w.inService.name && preference[0] != w.inService.name {
			w.fail("%s prefers %v, in service is %s, after order %d", g.host, preference, w.inService.name, len(w.orders))
		}
		if w.request(now, g) == nil {
			w.fail("%s serves no request after order %d", g.host, len(w.orders))
		}
	}
	for i, o := range w.orders {
		if limit := rowShare*float64(o.sent) + rowSlack; o.bad && float64(o.toVersion) > limit {
			w.fail("order %d: %d of %d requests to a bad version", i+1, o.toVersion, o.sent)
		}
	}
}

// Guards against a service that is out of use after an order that follows a completed one: the gateways took a version
// that had ended, but whose servers' rows remained, for the one in service.
func TestOrdersInARow(t *testing.T) {
	cases := map[string]rowFaults{
		"calm":                         {},
		"gateways killed":              {kills: true},
		"gateways frozen":              {freezes: true, losses: true},
		"gateways frozen for long":     {freezes: true, absences: true},
		"store away":                   {store: true},
		"orders replaced":              {replaced: true},
		"all faults, reports are lost": {kills: true, freezes: true, store: true, losses: true, replaced: true},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			broken := 0
			for seed := range *rowSeeds {
				synctest.Test(t, func(t *testing.T) {
					w := newRowWorld(t, seed, faults)
					w.play(2 + int(seed%3))
					if len(w.problems) > 0 {
						broken++
						t.Logf("seed %d: %d problems, the first: %s", seed, len(w.problems), w.problems[0])
					}
				})
			}
			if broken > 0 {
				t.Errorf("%d of %d schedules", broken, *rowSeeds)
			}
		})
	}
}
