package gateway

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

const (
	// batchInterval is the time for which messages to peers are batched.
	batchInterval = 10 * time.Millisecond
	// heartbeatInterval is the time between two checks for peers that are due a
	// heartbeat.
	heartbeatInterval = 500 * time.Millisecond
	// registerRetry is the delay between two attempts to register.
	registerRetry = time.Second
	// maxPending bounds the queued messages; more are dropped.
	maxPending = 1024
	// maxDatagram is the size of the receive buffer in bytes.
	maxDatagram = loadshare.MaxRegistryUpdateBytes + 1
)

// gossiper exchanges messages with the peers: on requests sent, servers lost, and reads
// of the store. It is nil in an entry without peers.
type gossiper struct {
	g    *Gateway
	conn *net.UDPConn
	port uint16

	mu    sync.Mutex
	peers *loadshare.Peers
	// registered is set once the registered peers have been read.
	registered     bool
	registeredAt   time.Time
	pending        []loadshare.Message
	flushScheduled bool
	// pendingCapacity holds the measured capacities that are still to be sent.
	pendingCapacity []loadshare.ServerCapacity
}

func newGossiper(g *Gateway) *gossiper {
	self := g.options.PeerConn.LocalAddr().(*net.UDPAddr).AddrPort()
	self = netip.AddrPortFrom(self.Addr().Unmap(), self.Port())
	return &gossiper{g: g, conn: g.options.PeerConn, port: self.Port(), peers: loadshare.NewPeers(self)}
}

// enqueue queues a message for the peers. It never blocks on I/O.
func (s *gossiper) enqueue(m loadshare.Message) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPending {
		telemetry.Counter(s.g.options.Metrics, "share.dropped").Inc(1)
		return
	}
	s.pending = append(s.pending, m)
	if !s.flushScheduled {
		s.flushScheduled = true
		time.AfterFunc(batchInterval, s.flush)
	}
}

// sendRegistryUpdate sends changes of the registered servers to all peers. Some of them pass it on.
func (s *gossiper) sendRegistryUpdate(r *loadshare.RegistryUpdate) {
	if s != nil {
		s.relayRegistryUpdate(time.Now(), r.Sent(s.self()))
	}
}

// relayRegistryUpdate sends an update to the peers that get it from this entry.
func (s *gossiper) relayRegistryUpdate(now time.Time, r *loadshare.RegistryUpdate) {
	s.mu.Lock()
	targets := s.peers.RelayTargets(now, r.Origin)
	s.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	datagram, err := loadshare.AppendRegistryUpdate(nil, s.port, r)
	if err != nil {
		s.g.options.Log.Error().Err(err).Msg("reading_not_told")
		return
	}
	s.sendAll(targets, datagram)
}

// sendConfigurationReport sends what this entry has read of the configuration to all peers.
func (s *gossiper) sendConfigurationReport(report loadshare.Message) {
	if s != nil {
		s.send(s.allLive(time.Now()), []loadshare.Message{report})
	}
}

// allLive returns all live peers.
func (s *gossiper) allLive(now time.Time) []netip.AddrPort {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers.AllLive(now)
}

// targets returns the peers that receive this entry's messages.
func (s *gossiper) targets(now time.Time) []netip.AddrPort {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]netip.AddrPort(nil), s.peers.Targets(now)...)
}

// hasPeers reports whether other entries are live.
func (s *gossiper) hasPeers(now time.Time) bool { return s != nil && s.livePeers(now) > 0 }

// isolated reports whether there are other entries but none is live.
func (s *gossiper) isolated(now time.Time) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers.Known() > 0 && s.peers.Live(now) == 0
}

// livePeers returns the number of live peers.
func (s *gossiper) livePeers(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers.Live(now)
}

// watchAssignment returns this entry's share in probing the servers that several
// entries have lost.
func (s *gossiper) watchAssignment(now time.Time) loadshare.WatchAssignment {
	if s == nil {
		return loadshare.WatchAssignment{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return loadshare.WatchAssignment{Rank: s.peers.Rank(now), Peers: s.peers.Live(now)}
}

// rank returns this entry's rank among the live entries.
func (s *gossiper) rank(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers.Rank(now)
}

func (s *gossiper) flush() {
	now := time.Now()
	s.mu.Lock()
	messages := s.pending
	s.pending, s.flushScheduled = nil, false
	targets := append([]netip.AddrPort(nil), s.peers.Targets(now)...)
	s.mu.Unlock()
	plain, occupancy := loadshare.SplitOccupancy(messages)
	for batch := range slices.Chunk(plain, loadshare.MaxMessages) {
		s.send(targets, batch)
	}
	for batch := range slices.Chunk(occupancy, loadshare.MaxMessages) {
		s.sendAll(targets, loadshare.AppendOccupancy(nil, s.port, batch))
	}
}

func (s *gossiper) send(targets []netip.AddrPort, messages []loadshare.Message) {
	s.sendAll(targets, loadshare.Append(nil, s.port, messages))
}

func (s *gossiper) sendAll(targets []netip.AddrPort, datagram []byte) {
	for _, target := range targets {
		if _, err := s.conn.WriteToUDPAddrPort(datagram, target); err != nil {
			telemetry.Counter(s.g.options.Metrics, "share.send_errors").Inc(1)
		}
	}
}

// register publishes this entry's address and reads those of its peers. It retries
// until it succeeds once.
func (s *gossiper) register() {
	select {
	case <-s.g.warm.opened:
	case <-s.g.background.Done():
		return
	}
	for !s.tryRegister() {
		if !s.g.pause(s.g.jitter(registerRetry)) {
			return
		}
	}
}

// registerAgain registers again after the store came back from an older copy, unless that
// holds the registration. The peers are read again too: one that started on the copy knows
// only those that the copy holds.
func (s *gossiper) registerAgain(now time.Time) {
	if s == nil {
		return
	}
	s.mu.Lock()
	needed := s.registered && now.Sub(s.registeredAt) < maxCopyAge
	s.mu.Unlock()
	if !needed {
		return
	}
	s.g.wait.Go(func() {
		if !s.g.pause(s.g.jitter(registerRetry)) {
			return
		}
		s.g.recordRewrite("entry")
		s.register()
		s.g.limits.saveMembershipAgain()
	})
}

// registerAnew registers again after peers have removed the registration.
func (s *gossiper) registerAnew() {
	s.g.wait.Go(func() {
		s.g.recordRewrite("entry")
		s.register()
	})
}

func (s *gossiper) tryRegister() bool {
	ctx, cancel := context.WithTimeout(s.g.background, storeReadTimeout)
	defer cancel()
	self := netip.AddrPortFrom(s.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr().Unmap(), s.port)
	era := s.g.config.era()
	if err := s.g.options.Registry.Register(ctx, s.g.options.Host, self); err != nil {
		s.g.options.Log.Warn().Err(err).Msg("register_failed")
		return false
	}
	peers, err := s.g.options.Registry.Peers(ctx)
	if err != nil {
		s.g.options.Log.Warn().Err(err).Msg("read_peers_failed")
		return false
	}
	member, err := s.g.options.Registry.IsMember(ctx, s.g.options.Host, self)
	if err != nil {
		s.g.options.Log.Warn().Err(err).Msg("read_membership_failed")
		return false
	}
	s.g.limits.registered(peers, member)
	s.mu.Lock()
	for _, address := range peers {
		s.peers.Add(address)
	}
	s.registered, s.registeredAt = true, time.Now()
	s.mu.Unlock()
	if s.g.config.era() != era {
		// The store may have lost the registration before it was complete.
		return false
	}
	s.updatePeerCounts(time.Now())
	s.g.options.Log.Info().Int("peers", len(peers)).Msg("registered")
	return true
}

// heartbeat sends heartbeats to the peers and updates the number of live peers until
// the gateway ends.
func (s *gossiper) heartbeat() {
	announcement := []loadshare.Message{{Kind: loadshare.Heartbeat}}
	for s.g.pause(heartbeatInterval) {
		now := time.Now()
		s.mu.Lock()
		due := s.peers.HeartbeatsDue(now)
		s.mu.Unlock()
		s.send(due, announcement)
		s.updatePeerCounts(now)
	}
}

// updatePeerCounts passes the number of peers to those that divide something by it.
func (s *gossiper) updatePeerCounts(now time.Time) {
	s.mu.Lock()
	live, known, registered := s.peers.Live(now), s.peers.Known(), s.registered
	s.mu.Unlock()
	s.g.livePeers.Store(int64(live))
	s.g.fleet.setPeers(live)
	if registered {
		s.g.retryBudgets.setEntries(live+1, known+1)
		s.g.moves.setEntries(known + 1)
	}
}

// receive handles the datagrams of peers until the connection is closed.
func (s *gossiper) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if s.g.background.Err() != nil {
				return
			}
			telemetry.Counter(s.g.options.Metrics, "share.receive_errors").Inc(1)
			continue
		}
		if err := s.handleDatagram(time.Now(), buf[:n], from); err != nil {
			telemetry.Counter(s.g.options.Metrics, "share.malformed").Inc(1)
		}
	}
}

// handleDatagram handles one datagram. It returns an error for a malformed one.
func (s *gossiper) handleDatagram(now time.Time, data []byte, from netip.AddrPort) error {
	if loadshare.IsRegistryUpdate(data) {
		sender, update, err := loadshare.ParseRegistryUpdate(data, from)
		if err != nil {
			return err
		}
		s.recordPeer(now, sender)
		if next, ok := update.PassedOn(); ok {
			s.relayRegistryUpdate(now, next)
		}
		if update.Adopted != nil {
			s.g.fleet.peerAdopted(now, update.Adopted, s.g.bounds.Load().ReuseAfter)
			return nil
		}
		s.g.applyPeerUpdate(now, update)
		return nil
	}
	if loadshare.IsConfigurationUpdate(data) {
		return s.handleConfigurationUpdate(now, data, from)
	}
	if loadshare.IsMoveUpdate(data) {
		return s.handleMoveUpdate(now, data, from)
	}
	if loadshare.IsCrashUpdate(data) {
		return s.handleCrashUpdate(now, data, from)
	}
	if loadshare.IsPartUpdate(data) {
		return s.handlePartUpdate(now, data, from)
	}
	if loadshare.IsLimitUpdate(data) {
		return s.handleLimitUpdate(now, data, from)
	}
	if loadshare.IsLeavingUpdate(data) {
		return s.handleLeavingUpdate(now, data, from)
	}
	if loadshare.IsCapacityUpdate(data) {
		return s.handleCapacityUpdate(now, data, from)
	}
	if loadshare.IsTrialUpdate(data) {
		return s.handleTrialUpdate(now, data, from)
	}
	sender, messages, err := loadshare.Parse(data, from)
	if err != nil {
		return err
	}
	s.recordPeer(now, sender)
	for _, m := range messages {
		s.handleMessage(now, m)
	}
	return nil
}

func (s *gossiper) handleMessage(now time.Time, m loadshare.Message) {
	switch m.Kind {
	case loadshare.Started, loadshare.Repeated:
		service, ok := s.g.fleet.peerStarted(now, m)
		if !ok {
			return
		}
		if m.Kind == loadshare.Started {
			s.g.retryBudgets.recordRequest(now, service)
		} else {
			s.g.retryBudgets.recordPeerRetry(now, service)
		}
	case loadshare.Ended, loadshare.CopyKept, loadshare.CopyDropped:
		s.g.fleet.peerOccupancy(now, m)
	case loadshare.Lost:
		s.g.fleet.peerLost(now, m.Server)
	case loadshare.Recovered:
		s.g.fleet.peerRecovered(now, m.Server)
	case loadshare.Speed:
		s.g.fleet.peerSpeed(now, m)
	case loadshare.Failed, loadshare.Succeeded:
		s.g.fleet.peerResult(now, m)
	case loadshare.ConfigCurrent:
		s.g.handlePeerVersion(now, m)
	}
}

// recordPeer records a datagram of a peer, and answers a peer that was not live.
func (s *gossiper) recordPeer(now time.Time, sender netip.AddrPort) {
	s.mu.Lock()
	isNew := s.peers.Received(now, sender)
	s.mu.Unlock()
	s.g.limits.heard(sender)
	if isNew {
		s.g.options.Log.Info().Str("peer", sender.String()).Msg("peer_heard")
		s.send([]netip.AddrPort{sender}, []loadshare.Message{{Kind: loadshare.Heartbeat}})
		s.g.crashes.peerAppeared(now, sender)
		s.g.limits.peerAppeared(sender)
		s.tellLeaving(sender)
	}
}
