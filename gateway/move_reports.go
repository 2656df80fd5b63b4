package gateway

import (
	"net/netip"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/rollout"
)

// reportIfDue reports on a move if that is due and the move has not ended for long.
func (v *versionMoves) reportIfDue(now time.Time, service wigeonfork.Model) {
	v.mu.Lock()
	move := v.moves[service]
	interval := min(max(move.Order.Duration/moveReports, minReportInterval), maxReportInterval)
	if move.HandsOver() {
		interval = minReportInterval
	}
	due := move.Left(now) > -moveMemory && now.Sub(v.reportedAt[service]) >= interval
	v.mu.Unlock()
	if due {
		v.report(now, service)
	}
}

// report sends the peers what this entry knows of a move.
func (v *versionMoves) report(now time.Time, service wigeonfork.Model) {
	v.mu.Lock()
	move := v.moves[service]
	v.reportedAt[service] = now
	stage, reason := move.Stage()
	update := &loadshare.MoveUpdate{
		Service: service, From: move.From, To: move.Order.To, Duration: move.Order.Duration, Revision: move.Order.Position.Revision, Era: move.Order.Position.Era,
		Left: move.Left(now), Confirmed: move.Confirmed(), Stage: stage, Reason: reason, Source: v.source, Report: move.Report(),
		InService: v.versionsLocked(service).InService(),
	}
	v.mu.Unlock()
	v.send(update)
}

// moveMemory is the time after the deadline for which peers are told of a move. Entries that start
// later read its stored state.
const moveMemory = 10 * time.Second

// handleUpdate applies a peer's report.
func (v *versionMoves) handleUpdate(now time.Time, u *loadshare.MoveUpdate) {
	order := u.Order()
	v.mu.Lock()
	rewritten := v.observeOrderLocked(now, order)
	v.learnLocked(u.Service, u.InService, "peer")
	v.recordEndLocked(order, u.Stage, "peer")
	v.mu.Unlock()
	if !rewritten {
		hasHistory := u.Duration-u.Left < historyPeriod && now.Sub(v.startedAt) > historyPeriod
		v.begin(now, moveBegin{order: order, left: u.Left, hasHistory: hasHistory, reportedFrom: u.From})
	}
	v.mu.Lock()
	move := v.moves[u.Service]
	if move == nil || !v.rewrites.isSame(move.Order, order) {
		v.mu.Unlock()
		return
	}
	move.Shorten(now, u.Left)
	move.Merge(now, u.Source, u.Report)
	rose := (u.Confirmed || u.Stage > rollout.StageTrial) && move.Advance(u.Stage, u.Reason)
	v.mu.Unlock()
	if rose {
		v.stageChanged(u.Service, "peer")
		v.report(now, u.Service)
	}
}

// sendMoveUpdate sends a report on a move to the peers.
func (s *gossiper) sendMoveUpdate(u *loadshare.MoveUpdate) {
	if s == nil {
		return
	}
	datagram, err := loadshare.AppendMoveUpdate(nil, s.port, u)
	if err != nil {
		s.g.options.Log.Error().Err(err).Msg("move_not_reported")
		return
	}
	s.sendAll(s.targets(time.Now()), datagram)
}

// handleMoveUpdate handles a datagram with a peer's report on a move.
func (s *gossiper) handleMoveUpdate(now time.Time, data []byte, from netip.AddrPort) error {
	sender, update, err := loadshare.ParseMoveUpdate(data, from)
	if err != nil {
		return err
	}
	s.recordPeer(now, sender)
	s.g.moves.handleUpdate(now, update)
	return nil
}
