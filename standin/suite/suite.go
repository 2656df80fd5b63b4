// Package suite runs stand-ins for the systems around the serving system on loopback ports: the
// table, the object store, the weight store, the host list, engines and plain services.
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

// anyLoopbackPort lets the operating system choose a port.
const anyLoopbackPort = "127.0.0.1:0"

// Options configure a Suite.
type Options struct {
	// Engines holds the options of each engine.
	Engines []engine.Options
	// Services is the number of plain services.
	Services int
	// WeightRate is the shared rate of the weight store in bytes per second; 0 means 1 GiB/s.
	WeightRate int64
	// HostLag is the delay after which the host list shows a change; 0 means none.
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
	// Services are the plain services. ServiceServers holds their servers in the same order.
	Services []*service.Service

	TableServer    *loopback.Server
	ObjectsServer  *loopback.Server
	WeightsServer  *loopback.Server
	HostsServer    *loopback.Server
	ServiceServers []*loopback.Server
}

// Start starts the stand-ins. On an error it closes those that it has started.
func Start(options Options) (*Suite, error) {
	if options.WeightRate <= 0 {
		options.WeightRate = defaultWeightRate
	}
	s := &Suite{
		Table:   table.New(),
		Objects: objects.New(),
		Weights: weights.New(options.WeightRate),
		Hosts:   hosts.New(options.HostLag),
	}
	err := s.start(options)
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Suite) start(options Options) error {
	var err error
	if s.TableServer, err = s.Table.Start(anyLoopbackPort); err != nil {
		return err
	}
	if s.ObjectsServer, err = s.Objects.Start(anyLoopbackPort); err != nil {
		return err
	}
	if s.WeightsServer, err = s.Weights.Start(anyLoopbackPort); err != nil {
		return err
	}
	if s.HostsServer, err = s.Hosts.Start(anyLoopbackPort); err != nil {
		return err
	}
	for _, engineOptions := range options.Engines {
		if err := s.AddEngine(engineOptions); err != nil {
			return err
		}
	}
	for range options.Services {
		if err := s.AddService(); err != nil {
			return err
		}
	}
	return nil
}

// AddEngine starts one more engine. It loads versions from the suite's weight store unless options
// set another address or a load duration.
func (s *Suite) AddEngine(options engine.Options) error {
	if options.WeightsAddress == "" && options.LoadDuration == 0 {
		options.WeightsAddress = s.WeightsServer.Addr()
	}
	running, err := engine.Start(anyLoopbackPort, options)
	if err != nil {
		return err
	}
	s.Engines = append(s.Engines, running)
	return nil
}

// AddService starts one more plain service.
func (s *Suite) AddService() error {
	plain := service.New()
	server, err := plain.Start(anyLoopbackPort)
	if err != nil {
		return err
	}
	s.Services = append(s.Services, plain)
	s.ServiceServers = append(s.ServiceServers, server)
	return nil
}

// Close closes all stand-ins.
func (s *Suite) Close() {
	for _, running := range s.Engines {
		running.Close()
	}
	servers := append([]*loopback.Server{s.TableServer, s.ObjectsServer, s.WeightsServer, s.HostsServer}, s.ServiceServers...)
	for _, server := range servers {
		if server != nil {
			server.Close()
		}
	}
}
