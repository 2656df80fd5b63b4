package capacity

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork/entry/fleet"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/template"
)

// Names of the costs of an entry's fleet.
const (
	costFleetRun     = "fleet kept in touch with"
	costFleetHosts   = "host list taken into the fleet"
	costFleetInstall = "snapshot taken into the fleet"
	costFleetMemory  = "fleet memory"
)

// refusedAddress is an address on which no process listens.
const refusedAddress = "127.0.0.1:1"

func newFleet(known int) *fleet.Fleet {
	f := fleet.New(fleet.Options{
		Domain: domainOf(0), Handshake: peer.Handshake{ID: "entry", Role: peer.RolePeer, Credential: credential},
		Log: telemetry.Discard(), Metrics: telemetry.NewRegistry(),
	})
	now := time.Now()
	f.ApplyHosts(now, refusingAgents(known), now)
	return f
}

// refusingAgents returns a list of n agents that refuse connections.
func refusingAgents(n int) []infra.Host {
	list := hosts(n)
	for i := range list {
		list[i].ControlAddress = refusedAddress
	}
	return list
}

// fleetRun runs a fleet for length and returns its processor time in microseconds
// a second.
func fleetRun(known int, length time.Duration) (float64, error) {
	f := newFleet(known)
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	began := time.Now()
	used, err := measureProcessorTime(func() { f.Run(ctx) })
	return float64(used) / float64(time.Microsecond) / time.Since(began).Seconds(), err
}

func measureFleet(c *costs) {
	length := 20 * c.meter.minTime
	s := series{role: roleEntry, name: costFleetRun, unit: "us/s", sizeUnit: "servers known", designSize: designAgents}
	c.add(s, knownSizes, func(known int) (float64, error) {
		var values []float64
		for range repeats {
			used, err := fleetRun(known, length)
			if err != nil {
				return 0, err
			}
			values = append(values, used)
		}
		return median(values), nil
	})
	s = series{role: roleEntry, name: costFleetHosts, unit: "us", sizeUnit: "servers known", designSize: designAgents}
	c.add(s, knownSizes, func(known int) (float64, error) {
		f := newFleet(known)
		defer f.Close()
		list := refusingAgents(known)
		return c.meter.micros(func(n int) {
			for range n {
				now := time.Now()
				f.ApplyHosts(now, list, now)
			}
		})
	})
	s = series{role: roleEntry, name: costFleetInstall, unit: "us", sizeUnit: "servers known", designSize: designAgents}
	c.add(s, knownSizes, func(known int) (float64, error) {
		f := newFleet(known)
		defer f.Close()
		snapshot := template.NewSnapshot(config(1, known/designModels), nil)
		return c.meter.micros(func(n int) {
			for range n {
				f.Install(snapshot)
			}
		})
	})
	s = series{role: roleEntry, name: costFleetMemory, unit: "bytes", sizeUnit: "servers known", designSize: designAgents}
	c.addCounted(s, knownSizes, func(known int) float64 {
		var made []*fleet.Fleet
		bytes := heapBytes(func() any {
			made = append(made, newFleet(known))
			return made
		})
		for _, f := range made {
			f.Close()
		}
		return bytes
	})
}
