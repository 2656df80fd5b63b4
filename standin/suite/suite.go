// Package suite starts a set of stand-ins on loopback ports and closes them
// together.
package suite

import (
	"time"

	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/standin/hosts"
	"github.com/wigeonfork/wigeonfork/standin/loopback"
	"github.com/wigeonfork/wigeonfork/standin/objects"
	"github.com/wigeonfork/wigeonfork/standin/service"
	"github.com/wigeonfork/wigeonfork/standin/table"
	"github.com/wigeonfork/wigeonfork/standin/weights"
)

// loopbackAny is a port of the system's choice.
const loopbackAny = "127.0.0.1:0"

// Options tell what a Suite holds.
type Options struct {
	// Engines has one entry for each engine.
	Engines []engine.Options
	// Services is the number of plain services.
	Services int
	// WeightRate is the rate of the weight store, in bytes per second; 0
	// means 1 GiB.
	WeightRate int64
	// HostLag is the lag of the host list.
	HostLag time.Duration
}

const defaultWeightRate = 1 << 30

// Suite is a set of running stand-ins.
type Suite struct {
	Table   *table.Table
	Objects *objects.Store
	Weights *weights.Store
	Hosts   *hosts.List
	Engines []*engine.Running
	// Services are the plain services; ServiceServers serve them.
	Services []*service.Service

	TableServer    *loopback.Server
	ObjectsServer  *loopback.Server
	WeightsServer  *loopback.Server
	HostsServer    *loopback.Server
	ServiceServers []*loopback.Server
}

// Start starts the stand-ins. On an error none is left running.
func Start(options Options) (*Suite, error) {
	if options.WeightRate <= 0 {
		options.WeightRate = defaultWeightRate
	}
	w := &Suite{
		Table:   table.New(),
		Objects: objects.New(),
		Weights: weights.New(options.WeightRate),
		Hosts:   hosts.New(options.HostLag),
	}
	err := w.start(options)
	if err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *Suite) start(options Options) error {
	var err error
	if w.TableServer, err = w.Table.Start(loopbackAny); err != nil {
		return err
	}
	if w.ObjectsServer, err = w.Objects.Start(loopbackAny); err != nil {
		return err
	}
	if w.WeightsServer, err = w.Weights.Start(loopbackAny); err != nil {
		return err
	}
	if w.HostsServer, err = w.Hosts.Start(loopbackAny); err != nil {
		return err
	}
	for _, engineOptions := range options.Engines {
		if err := w.AddEngine(engineOptions); err != nil {
			return err
		}
	}
	for range options.Services {
		if err := w.AddService(); err != nil {
			return err
		}
	}
	return nil
}

// AddEngine starts one more engine. It loads from the weight store of w unless
// the options name another one or a load duration.
func (w *Suite) AddEngine(options engine.Options) error {
	if options.WeightsAddress == "" && options.LoadDuration == 0 {
		options.WeightsAddress = w.WeightsServer.Addr()
	}
	running, err := engine.Start(loopbackAny, options)
	if err != nil {
		return err
	}
	w.Engines = append(w.Engines, running)
	return nil
}

// AddService starts one more plain service.
func (w *Suite) AddService() error {
	s := service.New()
	server, err := s.Start(loopbackAny)
	if err != nil {
		return err
	}
	w.Services = append(w.Services, s)
	w.ServiceServers = append(w.ServiceServers, server)
	return nil
}

// Close closes all stand-ins.
func (w *Suite) Close() {
	for _, running := range w.Engines {
		running.Close()
	}
	servers := append([]*loopback.Server{w.TableServer, w.ObjectsServer, w.WeightsServer, w.HostsServer}, w.ServiceServers...)
	for _, server := range servers {
		if server != nil {
			server.Close()
		}
	}
}
