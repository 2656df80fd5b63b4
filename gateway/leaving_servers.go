package gateway

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// markLeaving records that a server has said that it leaves. It returns whether that is new.
func (f *fleet) markLeaving(now time.Time, s directory.LeavingServer, source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	events, isNew := f.directory.MarkLeaving(now, s)
	f.apply(now, events)
	if isNew {
		telemetry.Counter(f.metrics, "fleet.leaving").Inc(1)
		f.log.Info().Str("server", string(s.ID)).Int64("born", s.Born).Str("source", source).Msg("server_leaving")
	}
	return isNew
}

// leavingServers returns the servers that have said that they leave.
func (f *fleet) leavingServers() []directory.LeavingServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Leaving()
}

// observeLeaving applies what the head of a server's answer says about its leaving, and tells the peers if that is
// new.
func (g *Gateway) observeLeaving(place *placement, reply *Reply) {
	if reply.MalformedLeaving != "" {
		telemetry.Counter(g.options.Metrics, "fleet.leaving_malformed").Inc(1)
		g.options.Log.Warn().Str("server", string(place.ID)).Str("value", reply.MalformedLeaving).Msg("server_leaving_malformed")
	}
	if !reply.Leaving {
		return
	}
	now := time.Now()
	server := directory.LeavingServer{ID: place.ID, Born: place.Born}
	if g.fleet.markLeaving(now, server, "own_answer") {
		g.gossip.sendLeavingUpdate(g.gossip.targets(now), []directory.LeavingServer{server})
	}
}

// sendLeavingUpdate sends reports on leaving servers to some peers.
func (s *gossiper) sendLeavingUpdate(targets []netip.AddrPort, servers []directory.LeavingServer) {
	if s == nil || len(targets) == 0 || len(servers) == 0 {
		return
	}
	datagram, err := loadshare.AppendLeavingUpdate(nil, s.port, &loadshare.LeavingUpdate{Servers: servers})
	if err != nil {
		s.g.options.Log.Error().Err(err).Msg("leaving_not_told")
		return
	}
	s.sendAll(targets, datagram)
}

// handleLeavingUpdate handles a datagram on leaving servers. It forwards what is new here, so that it reaches entries
// beyond those that the sender tells, and those that lost its datagram.
func (s *gossiper) handleLeavingUpdate(now time.Time, data []byte, from netip.AddrPort) error {
	sender, update, err := loadshare.ParseLeavingUpdate(data, from)
	if err != nil {
		return err
	}
	s.recordPeer(now, sender)
	var news []directory.LeavingServer
	for _, server := range update.Servers {
		if s.g.fleet.markLeaving(now, server, "peer") {
			news = append(news, server)
		}
	}
	s.sendLeavingUpdate(loadshare.ForwardTargets(s.targets(now)), news)
	return nil
}

// tellLeaving tells a peer that was not live which servers leave, at most as many as fit in a datagram.
func (s *gossiper) tellLeaving(peer netip.AddrPort) {
	servers := s.g.fleet.leavingServers()
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	s.sendLeavingUpdate([]netip.AddrPort{peer}, servers[:min(len(servers), loadshare.MaxLeavingServers)])
}
