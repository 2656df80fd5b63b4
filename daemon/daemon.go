// Package daemon runs a service as a process with settings, listeners, signal
// handling, logs and metrics. The programs under cmd pass it their service.
package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/intake"
	"github.com/wigeonfork/wigeonfork/settings"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// The exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

// Service is the service that a daemon runs, an entry or an agent.
type Service interface {
	Start(serve, control net.Listener)
	// Drain stops accepting requests and waits for those in progress, until the drain
	// limit is reached or ctx ends. Then it hands over the rest.
	Drain(ctx context.Context)
	Stop()
}

// Build creates the service of a daemon. Its listeners accept through the account.
type Build func(account *intake.Account, log *telemetry.Logger, metrics telemetry.Registry) (Service, error)

// Settings are the settings of a daemon, including those that all daemons share.
type Settings interface {
	Validate() error
	Shared() *settings.Process
}

// Main runs a daemon until it stops and returns its exit code. SIGTERM and SIGINT
// drain it; a second signal stops it at once.
func Main(role string, daemonSettings Settings, build Build) int {
	if err := settings.Parse(daemonSettings, os.Args[1:]); err != nil {
		if settings.IsHelp(err) {
			fmt.Println(err)
			return ExitOK
		}
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	process := daemonSettings.Shared()
	log := telemetry.NewLogger(os.Stderr, process.LogLevel, role, process.Host)
	if err := run(process, log, build); err != nil {
		log.Error().Err(err).Msg("process_failed")
		return ExitFailure
	}
	return ExitOK
}

func run(process *settings.Process, log *telemetry.Logger, build Build) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	metrics := telemetry.NewRegistry()
	debug.SetMemoryLimit(int64(float64(memoryLimit(process)) * intake.SoftLimitFraction))
	account := intake.NewAccount(intake.Limits{Memory: memoryLimit(process), Descriptors: connections(process)}, log, metrics)
	service, err := build(account, log, metrics)
	if err != nil {
		return err
	}
	listeners, err := listen(process)
	if err != nil {
		return err
	}
	metricsServer := httpserver.New(telemetry.MetricsHandler(metrics))
	metricsGuard := httpserver.NewGuard(account.Guard(intake.Collectors), httpserver.DefaultMaxHead)
	metricsGuard.Configure(metricsServer)
	go httpserver.Serve(metricsServer, metricsGuard.Listener(listeners.metrics), log)
	service.Start(listeners.serve, listeners.control)
	printAddresses(listeners)
	log.Info().Str("signal", (<-signals).String()).Msg("stop_requested")
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-signals
		cancel()
	}()
	service.Drain(ctx)
	service.Stop()
	return closeServer(metricsServer)
}

// memoryLimit returns the memory limit in bytes.
func memoryLimit(process *settings.Process) int64 { return process.MemoryLimitMB << 20 }

// fileDescriptors is the number of descriptors that are left for files, pipes and the runtime.
const fileDescriptors = 64

// connections returns the number of descriptors for connections.
func connections(process *settings.Process) int {
	limit := process.MaxDescriptors
	if limit == 0 {
		limit = intake.DescriptorLimit()
	}
	return max(0, limit-fileDescriptors)
}

func closeServer(server *http.Server) error {
	return errors.Wrap(server.Close(), "close metrics listener")
}

type listeners struct {
	serve, control, metrics net.Listener
}

func listen(process *settings.Process) (listeners, error) {
	var l listeners
	var err error
	if l.serve, err = net.Listen("tcp", process.Listen); err != nil {
		return l, errors.Wrap(err, "listen")
	}
	if l.control, err = net.Listen("tcp", process.ControlListen); err != nil {
		return l, errors.Wrap(err, "control-listen")
	}
	if l.metrics, err = net.Listen("tcp", process.MetricsListen); err != nil {
		return l, errors.Wrap(err, "metrics-listen")
	}
	return l, nil
}

// printAddresses prints the listen addresses. With port 0 the operating system has
// chosen the port.
func printAddresses(l listeners) {
	fmt.Printf("serve=%s control=%s metrics=%s\n", l.serve.Addr(), l.control.Addr(), l.metrics.Addr())
}
