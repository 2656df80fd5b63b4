package deployment

import (
	"time"

	"github.com/wigeonfork/wigeonfork/standin/rowstore"
)

// Drill is a test of the store's recovery: it is away for a moment and comes back from an older
// copy.
type Drill struct {
	// Away is how long the store is away.
	Away time.Duration
	// CopyAge is the age of the copy when the store comes back.
	CopyAge time.Duration
	// OperatorDelay is the time after which the operator writes its rows again. Runners write
	// theirs with their next heartbeat.
	OperatorDelay time.Duration
}

// Restore takes the store through a drill. It returns once the operator has written again.
func (d *Deployment) Restore(drill Drill) {
	d.Store.SetFault(rowstore.FaultUnavailable)
	time.Sleep(drill.Away)
	d.Store.Restore(drill.CopyAge)
	d.removeDeadRows()
	d.Store.SetFault(rowstore.FaultNone)
	time.Sleep(drill.OperatorDelay)
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, value := range d.operatorRows {
		d.Store.Put("op", key, value)
	}
}

// SilenceStoreConnections makes the open connections to the store deliver nothing any more. New ones
// work.
func (d *Deployment) SilenceStoreConnections() { d.server.SilenceConnections() }

// Leave removes the row of a runner that did not report to be draining. The runner itself goes on
// serving without heartbeats.
func (d *Deployment) Leave(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runners[id].dead = true
	d.Store.Delete("servers", id)
}

// Silence ends the heartbeats of a runner that goes on serving. Its row is removed after three
// heartbeat intervals.
func (d *Deployment) Silence(id string) { d.markDead(id) }

// ConfigurationVersion returns the version of the last configuration.
func (d *Deployment) ConfigurationVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return uint64(d.version)
}

// removeDeadRows removes the rows of dead runners after three heartbeat intervals, as the platform
// does with all rows whose runners are silent.
func (d *Deployment) removeDeadRows() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, reg := range d.runners {
		if reg.dead {
			time.AfterFunc(3*heartbeatInterval, func() { d.Store.Delete("servers", id) })
		}
	}
}

func (d *Deployment) putOperatorRow(key string, value []byte) {
	d.operatorRows[key] = value
	d.Store.Put("op", key, value)
}
