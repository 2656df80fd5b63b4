// Command wigeonfork-gateway serves callers on an entry host of the users'
// platform. It starts with nothing but the platform's settings file.
package main

/*
#include <signal.h>

// A SIGHUP ends a process until the Go runtime runs and takes it. The platform may
// send one as soon as the process exists; the settings are read after this anyway.
static void __attribute__((constructor)) ignore_early_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"

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
	"github.com/wigeonfork/wigeonfork/platform"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

const (
	// memoryLimitFraction is the part of the machine's memory limit at which the collector
	// works harder; the rest is for the sockets' buffers.
	memoryLimitFraction = 0.6
	// settingsPollInterval is the time between two looks at the settings file.
	settingsPollInterval = time.Second
)

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
	debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * memoryLimitFraction))
	metrics := telemetry.NewRegistry()
	store := platform.NewStore(settings.StoreAddress)
	peers, err := listenPeers(settings.PeerAddress)
	if err != nil {
		return err
	}
	g := gateway.New(gateway.Options{
		Host:     settings.Host,
		Domain:   settings.Domain,
		Bounds:   settings.Bounds,
		Codec:    platform.Codec{},
		Source:   platform.NewSource(store, log),
		Registry: platform.NewRegistry(store),
		PeerConn: peers,
		Log:      log,
		Metrics:  metrics,
	})
	callers, err := net.Listen("tcp", settings.CallersAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	ready, err := net.Listen("tcp", settings.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listen for the balancer")
	}
	metricsListener, err := net.Listen("tcp", settings.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	metricsServer := httpserver.New(g.Inspect())
	go httpserver.Serve(metricsServer, metricsListener, log)
	g.Start(callers, ready)
	waitForStop(path, signals, g, log)
	g.Drain()
	g.Stop()
	return errors.Wrap(metricsServer.Close(), "close the metrics listener")
}

// listenPeers opens the socket for the other entries, or none if address is empty.
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

// waitForStop takes over changed settings until a signal asks to stop.
func waitForStop(path string, signals <-chan os.Signal, g *gateway.Gateway, log *telemetry.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modificationTime(path)
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				log.Info().Str("signal", received.String()).Msg("stop_requested")
				return
			}
			reload(path, g, log)
		case <-ticker.C:
			if at := modificationTime(path); !at.Equal(lastModified) {
				lastModified = at
				reload(path, g, log)
			}
		}
	}
}

// modificationTime returns when the settings file was last changed; the zero time if it
// can't be told.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes over the settings that may change while running. A bad file
// leaves the settings in force.
func reload(path string, g *gateway.Gateway, log *telemetry.Logger) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		log.Error().Str("path", path).Err(err).Msg("settings_refused")
		return
	}
	g.SetBounds(settings.Bounds)
	log.Info().Str("path", path).Msg("settings_reloaded")
}
