package gateway

import (
	"net/netip"
	"time"

	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// reportLocked passes a server's load report to the router, and sends the peers what it changes in the server's capacity.
func (f *fleet) reportLocked(now time.Time, id serverID, load *Load) {
	f.router.Report(now, id, backend.LoadReport{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowdown: load.Slowdown, MeasuredAt: now,
	})
	f.shareCapacityLocked(now, id)
}

// shareCapacityLocked sends the peers the capacity that was measured of a server, if it has changed since they were told.
func (f *fleet) shareCapacityLocked(now time.Time, id serverID) {
	if report, isNew := f.router.CapacityReport(now, id); isNew {
		f.shareCapacity(loadshare.ServerCapacity{Server: loadshare.HashServer(id), Report: report})
	}
}

// peerCapacity applies the capacity that a peer measured of a server.
func (f *fleet) peerCapacity(now time.Time, c loadshare.ServerCapacity) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id, ok := f.hashes[c.Server]; ok {
		f.router.PeerCapacity(now, id, c.Report)
	}
}

// enqueueCapacity queues a server's capacity for the peers, and drops it if the queue is full. It never blocks on I/O.
func (s *gossiper) enqueueCapacity(c loadshare.ServerCapacity) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingCapacity) >= loadshare.MaxCapacityServers {
		telemetry.Counter(s.g.options.Metrics, "share.dropped").Inc(1)
		return
	}
	if len(s.pendingCapacity) == 0 {
		time.AfterFunc(batchInterval, s.flushCapacity)
	}
	s.pendingCapacity = append(s.pendingCapacity, c)
}

// flushCapacity sends the queued capacities to the peers in one datagram.
func (s *gossiper) flushCapacity() {
	s.mu.Lock()
	update := &loadshare.CapacityUpdate{Servers: s.pendingCapacity}
	s.pendingCapacity = nil
	targets := append([]netip.AddrPort(nil), s.peers.Targets(time.Now())...)
	s.mu.Unlock()
	datagram, err := loadshare.AppendCapacityUpdate(nil, s.port, update)
	if err != nil {
		s.g.options.Log.Error().Err(err).Msg("capacity_not_told")
		return
	}
	telemetry.Counter(s.g.options.Metrics, "share.capacity_reports").Inc(int64(len(update.Servers)))
	s.sendAll(targets, datagram)
}

// handleCapacityUpdate handles a datagram with the capacities that a peer measured.
func (s *gossiper) handleCapacityUpdate(now time.Time, data []byte, from netip.AddrPort) error {
	sender, update, err := loadshare.ParseCapacityUpdate(data, from)
	if err != nil {
		return err
	}
	s.recordPeer(now, sender)
	for _, c := range update.Servers {
		s.g.fleet.peerCapacity(now, c)
	}
	return nil
}
