// Command wigeonfork-gateway serves callers on an entry host of the users'
// platform. Its only configuration is the platform's settings file.
package main

import (
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/gateway"
	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/intake"
	"github.com/wigeonfork/wigeonfork/platform"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// settingsPollInterval is the time between two checks of the settings file.
const settingsPollInterval = time.Second

func main() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		log := telemetry.NewLogger(os.Stdout, "info", "gateway", "unknown")
		log.Error().Str("path", path).Err(err).Msg("settings_refused")
		os.Exit(2)
	}
	log := telemetry.NewBoundedLogger(os.Stdout, "info", "gateway", string(settings.Host))
	err = run(path, settings, signals, log)
	if err != nil {
		log.Error().Err(err).Msg("process_failed")
	}
	telemetry.Flush(log)
	if err != nil {
		os.Exit(1)
	}
}

func run(path string, settings *platform.Settings, signals <-chan os.Signal, log *telemetry.Logger) error {
	debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * intake.SoftLimitFraction))
	metrics := telemetry.NewRegistry()
	account := intake.NewAccount(intake.Limits{Memory: settings.MemoryLimit, Descriptors: settings.Connections}, log, metrics)
	store := platform.NewStore(settings.StoreAddress)
	peers, err := listenPeers(settings.PeerAddress)
	if err != nil {
		return err
	}
	g := gateway.New(gateway.Options{
		Host:        settings.Host,
		Domain:      settings.Domain,
		Bounds:      settings.Bounds,
		Codec:       platform.Codec{},
		Source:      platform.NewSource(store, log),
		Registry:    platform.NewRegistry(store),
		PeerConn:    peers,
		Quarantines: platform.NewQuarantines(store),
		Moves:       platform.NewMoves(store),
		Account:     account,
		Log:         log,
		Metrics:     metrics,
	})
	callers, err := net.Listen("tcp", settings.CallersAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	ready, err := net.Listen("tcp", settings.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listen for the load balancer")
	}
	metricsListener, err := net.Listen("tcp", settings.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	metricsServer := httpserver.New(g.Inspect())
	metricsGuard := httpserver.NewGuard(account.Guard(intake.Collectors), httpserver.DefaultMaxHead)
	metricsGuard.Configure(metricsServer)
	go httpserver.Serve(metricsServer, metricsGuard.Listener(metricsListener), log)
	g.Start(callers, ready)
	watcher := &settingsWatcher{path: path, lastModified: modificationTime(path), gateway: g, log: log}
	watcher.awaitStop(signals)
	drained := make(chan struct{})
	go func() {
		g.Drain()
		close(drained)
	}()
	watcher.awaitDrained(signals, drained)
	g.Stop()
	return errors.Wrap(metricsServer.Close(), "close the metrics listener")
}

// listenPeers opens the UDP socket for peer gateways, or none if address is empty.
func listenPeers(address string) (*net.UDPConn, error) {
	if address == "" {
		return nil, nil
	}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	conn, err := net.ListenUDP("udp", udp)
	return conn, errors.Wrap(err, "listen for peers")
}

// settingsWatcher reloads the settings when their file changes and on SIGHUP.
type settingsWatcher struct {
	path         string
	lastModified time.Time
	gateway      *gateway.Gateway
	log          *telemetry.Logger
}

// awaitStop watches the settings until SIGTERM or SIGINT.
func (w *settingsWatcher) awaitStop(signals <-chan os.Signal) {
	received := w.watch(signals, nil)
	w.log.Info().Str("signal", received.String()).Msg("stop_requested")
}

// awaitDrained watches the settings until drained is closed, since the grace period may
// change. Further requests to stop have no effect.
func (w *settingsWatcher) awaitDrained(signals <-chan os.Signal, drained <-chan struct{}) {
	for w.watch(signals, drained) != nil {
	}
}

// watch watches the settings until a signal other than SIGHUP, which it returns, or until
// done is closed.
func (w *settingsWatcher) watch(signals <-chan os.Signal, done <-chan struct{}) os.Signal {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return nil
		case received := <-signals:
			if received != syscall.SIGHUP {
				return received
			}
			w.reload()
		case <-ticker.C:
			if at := modificationTime(w.path); !at.Equal(w.lastModified) {
				w.lastModified = at
				w.reload()
			}
		}
	}
}

// modificationTime returns the modification time of the settings file. It returns
// the zero time if the file can't be inspected.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the bounds, the only settings that may change at run time. An
// invalid file leaves the current settings in force.
func (w *settingsWatcher) reload() {
	settings, err := platform.LoadSettings(w.path)
	if err != nil {
		w.log.Error().Str("path", w.path).Err(err).Msg("settings_refused")
		return
	}
	w.gateway.SetBounds(settings.Bounds)
	w.log.Info().Str("path", w.path).Msg("settings_reloaded")
}
