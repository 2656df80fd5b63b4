package rollout

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/problem"
)

const (
	// orderRetry is the delay before a failed order is sent again.
	orderRetry = 5 * time.Second
	// loadTimeoutFactor is the multiple of the planned load time after which a load is
	// ordered again.
	loadTimeoutFactor = 8
	// unloadTimeout is how long a backend server that does not unload can keep a move from
	// closing.
	unloadTimeout = 2 * time.Minute
)

// fleet is a Move's view of its backend servers.
type fleet struct {
	members     []member
	index       map[wigeonfork.BackendServerID]int
	loadStarts  []time.Time
	unloadStart time.Time
}

type member struct {
	server    Server
	down      bool
	newReady  bool
	nextOrder time.Time // when the next order may be sent
	inFlight  bool      // an order has been sent and has no result yet
	unloaded  bool
}

func newFleet(plan Plan) fleet {
	f := fleet{index: make(map[wigeonfork.BackendServerID]int), loadStarts: plan.loadStarts()}
	for _, s := range plan.Servers {
		f.add(s)
	}
	return f
}

func (f *fleet) add(s Server) {
	if _, known := f.index[s.ID]; known {
		return
	}
	f.index[s.ID] = len(f.members)
	f.members = append(f.members, member{server: s})
}

// applyReport adopts a report. A backend server that is up again may be sent an order at once.
func (f *fleet) applyReport(now time.Time, e ServerReport) {
	i, known := f.index[e.Server]
	if !known {
		return
	}
	m := &f.members[i]
	if m.down && !e.Down {
		m.nextOrder = now
	}
	m.down = e.Down
	m.newReady = e.NewReady && !e.Down
}

// orderDone records the end of an order. It reports whether the order was stale: this holder
// has lost the lease, or another one has sent an order.
func (f *fleet) orderDone(now time.Time, e OrderDone) bool {
	i, known := f.index[e.Server]
	if !known {
		return false
	}
	m := &f.members[i]
	m.inFlight = false
	if e.Err != nil {
		m.nextOrder = now.Add(orderRetry)
		return problem.From(e.Err, problem.StepOrder).Code == problem.CodeStaleOrder
	}
	if e.Kind == backend.OrderUnload {
		m.unloaded = true
	}
	return false
}

// readyCount returns how many backend servers have the new version ready, and how many are up.
func (f *fleet) readyCount() (ready, up int) {
	for i := range f.members {
		if f.members[i].down {
			continue
		}
		up++
		if f.members[i].newReady {
			ready++
		}
	}
	return ready, up
}

// readyFor reports whether enough backend servers have the new version ready for it to get
// share.
func (f *fleet) readyFor(plan Plan, share PerMille) bool {
	ready, up := f.readyCount()
	return ready > 0 && ready >= min(plan.serversFor(share), up)
}

// dueLoads returns the load orders that are due. A backend server that is down is replaced by
// the next one. Once all planned loads are due, every backend server must load.
func (f *fleet) dueLoads(now time.Time, plan Plan, fencing wigeonfork.FencingNumber) []Action {
	due := 0
	for _, start := range f.loadStarts {
		if !now.Before(start) {
			due++
		}
	}
	if due == len(f.loadStarts) {
		due = len(f.members)
	}
	var actions []Action
	for i := range f.members {
		m := &f.members[i]
		if due == 0 {
			break
		}
		if m.down {
			continue
		}
		due--
		if m.newReady || m.inFlight || now.Before(m.nextOrder) {
			continue
		}
		m.inFlight = true
		m.unloaded = false
		m.nextOrder = now.Add(loadTimeoutFactor * plan.loadTime())
		actions = append(actions, newOrder(m, plan, backend.OrderLoad, plan.To, fencing))
	}
	return actions
}

// dueUnloads returns the orders to unload version that are due on backend servers that are up.
func (f *fleet) dueUnloads(now time.Time, plan Plan, version wigeonfork.Version, fencing wigeonfork.FencingNumber) []Action {
	if f.unloadStart.IsZero() {
		f.unloadStart = now
		for i := range f.members {
			f.members[i].nextOrder = now
		}
	}
	var actions []Action
	for i := range f.members {
		m := &f.members[i]
		if m.down || m.unloaded || m.inFlight || now.Before(m.nextOrder) {
			continue
		}
		m.inFlight = true
		m.nextOrder = now.Add(orderRetry)
		actions = append(actions, newOrder(m, plan, backend.OrderUnload, version, fencing))
	}
	return actions
}

// unloadFinished reports whether every backend server has unloaded the version or is down, or
// unloadTimeout has passed.
func (f *fleet) unloadFinished(now time.Time) bool {
	if f.unloadStart.IsZero() {
		return false
	}
	if now.Sub(f.unloadStart) >= unloadTimeout {
		return true
	}
	for i := range f.members {
		if !f.members[i].down && !f.members[i].unloaded {
			return false
		}
	}
	return true
}

func newOrder(m *member, plan Plan, kind backend.OrderKind, version wigeonfork.Version, fencing wigeonfork.FencingNumber) Action {
	return SendOrder{
		Server: m.server.ID,
		Order: backend.Order{
			Kind: kind, Scope: plan.Scope, Fencing: fencing, Model: plan.Model, Version: version,
		},
	}
}
