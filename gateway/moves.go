package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/routetable"
)

const (
	// moveStepInterval is the time between two steps of the moves.
	moveStepInterval = 100 * time.Millisecond
	// A move is reported to the peers moveReports times until its deadline, but no more often than
	// at minReportInterval and no less often than at maxReportInterval.
	moveReports       = 60
	minReportInterval = 250 * time.Millisecond
	maxReportInterval = 10 * time.Second
	// historyPeriod is the age of an order up to which an entry that learns of it has seen the
	// move from its start.
	historyPeriod = 2 * time.Second
)

// versionMoves follows the orders to move services to other versions. It decides which version a
// request is sent to, and judges new versions together with the peers. Its lock is taken after that
// of the fleet, and held over no I/O.
type versionMoves struct {
	g *Gateway
	// send sends a report to the peers, and rank returns this entry's rank as leader.
	send func(*loadshare.MoveUpdate)
	rank func() int
	// source identifies this incarnation in reports.
	source    string
	startedAt time.Time

	mu sync.Mutex
	// orders holds the newest order of each service. Its move exists once servers are known.
	orders    map[wigeonfork.Model]rollout.MoveOrder
	rewrites  orderRewrites
	moves     map[wigeonfork.Model]*rollout.ServiceMove
	baselines *rollout.Baselines
	// versions holds what is known of the versions of each service.
	versions map[wigeonfork.Model]*rollout.ServiceVersions
	// reportedAt is when each move was last reported to the peers.
	reportedAt map[wigeonfork.Model]time.Time
	// waiting holds the runs that are not yet old enough to be known as slow.
	waiting map[*timedRun]struct{}
	// unrepeatable holds the runs in progress that may not run again.
	unrepeatable map[*placement]routetable.Kind
	// entries is the number of known entries, 0 until the registry has been read.
	entries int
}

func newVersionMoves(g *Gateway) *versionMoves {
	return &versionMoves{
		g:    g,
		send: func(u *loadshare.MoveUpdate) { g.gossip.sendMoveUpdate(u) }, rank: g.readerRank,
		source: strconv.FormatUint(rand.Uint64(), 36), startedAt: time.Now(),
		orders: make(map[wigeonfork.Model]rollout.MoveOrder), moves: make(map[wigeonfork.Model]*rollout.ServiceMove),
		rewrites:   newOrderRewrites(),
		versions:   make(map[wigeonfork.Model]*rollout.ServiceVersions),
		reportedAt: make(map[wigeonfork.Model]time.Time),
		baselines:  rollout.NewBaselines(), waiting: make(map[*timedRun]struct{}),
		unrepeatable: make(map[*placement]routetable.Kind),
	}
}

// setEntries sets the number of known entries, this one included.
func (v *versionMoves) setEntries(known int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.entries = known
	for _, move := range v.moves {
		move.SetEntries(known)
	}
}

// exposureLimits returns the exposure limits of the bounds.
func exposureLimits(b *Bounds) rollout.ExposureLimits {
	return rollout.ExposureLimits{Share: b.ExposureShare, Slack: b.ExposureSlack}
}

// setBounds replaces the exposure limits of the moves under way.
func (v *versionMoves) setBounds(b *Bounds) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, move := range v.moves {
		move.SetLimits(exposureLimits(b))
	}
}

// observeOrders records orders that were read from the store.
func (v *versionMoves) observeOrders(orders []rollout.MoveOrder) {
	v.mu.Lock()
	for _, order := range orders {
		v.observeOrderLocked(time.Now(), order)
	}
	v.mu.Unlock()
	v.beginMoves(time.Now())
}

// beginMoves begins the moves of orders whose service has servers of another version.
func (v *versionMoves) beginMoves(now time.Time) {
	v.mu.Lock()
	var missing []rollout.MoveOrder
	for service, order := range v.orders {
		if move := v.moves[service]; move == nil || move.Order.Position.Before(order.Position) {
			missing = append(missing, order)
		}
	}
	v.mu.Unlock()
	for _, order := range missing {
		// An entry that has just started may have missed the first part of the move.
		b := moveBegin{order: order, left: order.Duration, hasHistory: now.Sub(v.startedAt) > historyPeriod}
		if v.begin(now, b) {
			v.g.wait.Go(func() { v.confirm(order) })
		}
	}
}

// moveBegin is what this entry learns of a move when it begins.
type moveBegin struct {
	order rollout.MoveOrder
	// left is the time to the deadline.
	left       time.Duration
	hasHistory bool
	// reportedFrom is the old version according to a peer, or empty. It is used if this entry knows none.
	reportedFrom wigeonfork.Version
}

// begin begins a move, unless one of the same or a later order exists or no old version is known.
func (v *versionMoves) begin(now time.Time, b moveBegin) bool {
	service := b.order.Service
	known := v.g.fleet.serversByVersion(service)
	v.mu.Lock()
	defer v.mu.Unlock()
	if move := v.moves[service]; move != nil && !b.order.Position.After(move.Order.Position) {
		return false
	}
	from := cmp.Or(v.trustedLocked(b.order, known), b.reportedFrom)
	if from == "" {
		return false
	}
	move := rollout.NewServiceMove(now, b.order, from, b.left, exposureLimits(v.g.bounds.Load()), b.hasHistory, rand.Float64())
	move.SetEntries(v.entries)
	v.moves[service] = move
	v.orders[service] = b.order
	v.logBegan(move, &b, known)
	return true
}

func (v *versionMoves) logBegan(move *rollout.ServiceMove, b *moveBegin, known []rollout.VersionServers) {
	order := move.Order
	v.g.options.Log.Info().Str("service", string(order.Service)).Str("from", string(move.From)).Str("to", string(order.To)).
		Uint64("order", order.Position.Revision).Uint64("era", order.Position.Era).Int64("left_ms", b.left.Milliseconds()).
		Bool("has_history", b.hasHistory).Str("reported_from", string(b.reportedFrom)).
		Str("in_service", v.versionsLocked(order.Service).InService().String()).Str("servers", describeServers(known)).Msg("move_began")
}

// preference lists the versions that the next request to a service may be sent to, the wanted one
// first. It is empty if the service is not under a move.
func (v *versionMoves) preference(service wigeonfork.Model) []wigeonfork.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	if move := v.moves[service]; move != nil {
		return move.Preference(time.Now())
	}
	if versions := v.versions[service]; versions != nil && versions.InService().Version != "" {
		return []wigeonfork.Version{versions.InService().Version, ""}
	}
	return nil
}

// allows reports whether a request may be sent to a server of a version.
func (v *versionMoves) allows(service wigeonfork.Model, version wigeonfork.Version) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	move := v.moves[service]
	return move == nil || move.Allows(time.Now(), version)
}

// backupVersion returns the version at which backups are kept, or an empty one for any.
func (v *versionMoves) backupVersion(service wigeonfork.Model) wigeonfork.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	if move := v.moves[service]; move != nil {
		return move.BackupVersion()
	}
	return ""
}

// sent counts a request that is sent to a server.
func (v *versionMoves) sent(service wigeonfork.Model, version wigeonfork.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if move := v.moves[service]; move != nil {
		move.Sent(version)
	}
}

// answered counts an answer: whether it is a failure.
func (v *versionMoves) answered(p *placement, route string, failed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if move := v.moves[p.Service]; move != nil {
		move.Answered(p.Version, rollout.Route(route), failed)
	}
}

// follow steps the moves and reports on them until the gateway ends.
func (v *versionMoves) follow() {
	for v.g.pause(moveStepInterval) {
		v.followOnce(time.Now())
	}
}

// followOnce steps the moves, and reports on those for which that is due.
func (v *versionMoves) followOnce(now time.Time) {
	v.beginMoves(now)
	v.countTimed(now)
	v.step(now)
	for _, service := range v.services() {
		v.reportIfDue(now, service)
	}
}

// step steps all moves, and reports new stages at once.
func (v *versionMoves) step(now time.Time) {
	rank := v.rank()
	for _, service := range v.services() {
		known := v.g.fleet.serversByVersion(service)
		v.mu.Lock()
		move := v.moves[service]
		completed := v.followVersionsLocked(move, known)
		result := move.Step(now, rollout.FleetView{
			OldUsable: usableOf(known, move.From), NewUsable: usableOf(known, move.Order.To), Rank: rank, Left: v.leftLocked(service, move.From),
		})
		v.mu.Unlock()
		if completed {
			v.stageChanged(service, "version in service")
		}
		if result.Rose {
			v.stageChanged(service, "own")
		}
		if result.Rose || result.HandedOver {
			v.report(now, service)
		}
	}
}

// beginUnrepeatable records a run that may not run again or be resumed, until endUnrepeatable.
func (v *versionMoves) beginUnrepeatable(p *placement, kind routetable.Kind) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unrepeatable[p] = kind
}

func (v *versionMoves) endUnrepeatable(p *placement) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.unrepeatable, p)
}

// leftLocked counts the runs at a version of a service that may not run again. The lock must be held.
func (v *versionMoves) leftLocked(service wigeonfork.Model, version wigeonfork.Version) rollout.Unrepeatable {
	var left rollout.Unrepeatable
	for p, kind := range v.unrepeatable {
		switch {
		case p.Service != service || p.Version != version:
		case kind == routetable.KindStream:
			left.Streams++
		default:
			left.Orders++
		}
	}
	return left
}

// services returns the services under a move.
func (v *versionMoves) services() []wigeonfork.Model {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]wigeonfork.Model, 0, len(v.moves))
	for service := range v.moves {
		list = append(list, service)
	}
	slices.Sort(list)
	return list
}

// stageChanged logs a new stage, and moves the streams away from a version that was stopped.
func (v *versionMoves) stageChanged(service wigeonfork.Model, source string) {
	v.mu.Lock()
	move := v.moves[service]
	stage, reason := move.Stage()
	to, state := move.Order.To, move.State()
	v.recordEndLocked(move.Order, stage, source)
	v.mu.Unlock()
	v.g.options.Log.Info().Str("service", string(service)).Str("to", string(to)).Str("stage", stage.String()).Str("source", source).
		Str("reason", reason).Str("state", state).Msg("move_stage")
	if stage == rollout.StageStopped {
		v.g.fleet.leaveVersion(time.Now(), service, to)
	}
}

// state describes the moves for operators.
func (v *versionMoves) state() map[wigeonfork.Model]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	states := make(map[wigeonfork.Model]string, len(v.moves))
	for service, move := range v.moves {
		states[service] = move.State() + "; in service " + v.versionsLocked(service).InService().String()
	}
	return states
}
