package gateway

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// toldGrace is how long an entry that knows of a new configuration waits for a peer to send it
// before it reads the store itself.
const toldGrace = 150 * time.Millisecond

// tellConfiguration sends the configuration that this entry has just read, so that its peers need not read the store.
func (g *Gateway) tellConfiguration(change *ConfigurationChange, report loadshare.Message) {
	if g.gossip == nil || len(change.Content) == 0 {
		return
	}
	update := loadshare.ConfigurationUpdate{
		Version: change.Table.Version(), Era: change.Era, StoreNow: time.Duration(report.Value) * time.Millisecond, Content: change.Content,
	}
	g.gossip.relayConfiguration(time.Now(), update.Sent(g.gossip.self()))
}

// readUnlessTold wakes the reads of the configuration if a peer's report of a version was
// not followed by that version.
func (g *Gateway) readUnlessTold(version uint64) {
	table := g.config.table()
	if table != nil && table.Version() >= version || g.background.Err() != nil {
		return
	}
	telemetry.Counter(g.options.Metrics, "configuration.not_told").Inc(1)
	g.configFollower.wake()
}

// relayConfiguration sends an update to the peers to which this entry must pass it.
func (s *gossiper) relayConfiguration(now time.Time, u *loadshare.ConfigurationUpdate) {
	s.mu.Lock()
	targets := s.peers.RelayTargets(now, u.Origin)
	s.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	datagram, err := loadshare.AppendConfigurationUpdate(nil, s.port, u)
	if err != nil {
		// The peers read the configuration from the store.
		s.g.options.Log.Info().Uint64("version", u.Version).Err(err).Msg("configuration_not_told")
		return
	}
	s.sendAll(targets, datagram)
}

// handleConfigurationUpdate installs a configuration that a peer read, and passes it on.
func (s *gossiper) handleConfigurationUpdate(now time.Time, data []byte, from netip.AddrPort) error {
	sender, update, err := loadshare.ParseConfigurationUpdate(data, from)
	if err != nil {
		return err
	}
	s.recordPeer(now, sender)
	if next, ok := update.PassedOn(); ok {
		s.relayConfiguration(now, next)
	}
	return s.g.installTold(now, update)
}

// installTold installs a configuration that a peer read, unless it is known.
func (g *Gateway) installTold(now time.Time, u *loadshare.ConfigurationUpdate) error {
	if known := g.config.table(); known == nil || u.Version <= known.Version() {
		return nil
	}
	table, err := g.options.Source.DecodeConfiguration(u.Content)
	if err != nil {
		return errors.Wrap(err, "configuration of a peer")
	}
	if table.Version() != u.Version || !g.config.installFromPeer(table, u.Era) {
		return nil
	}
	g.fleet.setEngines(table)
	telemetry.Counter(g.options.Metrics, "configuration.told").Inc(1)
	g.options.Log.Info().Uint64("version", u.Version).Int("services", len(table.Services())).Msg("configuration_told")
	verdict := g.config.observePeer(peerConfiguration{version: u.Version, era: u.Era, storeNow: u.StoreNow})
	if verdict.proven {
		g.configFollower.recordRead(now.Add(-verdict.age))
	}
	return nil
}
