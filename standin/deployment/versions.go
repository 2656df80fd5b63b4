package deployment

import (
	"encoding/json"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/runner"
)

// serviceVersion identifies one version of a service.
type serviceVersion struct{ service, version string }

// AddVersion starts n runners of another version of a service, with options of their own.
func (d *Deployment) AddVersion(service, version string, n int, options runner.Options) ([]*runner.Runner, error) {
	var list []*runner.Runner
	for range n {
		r, err := d.addRunner(service, version, "127.0.0.1:0", options)
		if err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, nil
}

// Replace starts another runner on address with the service, version and options of the given one,
// which may be dead. It starts none and returns nil if RetireVersion was called for the version.
func (d *Deployment) Replace(id, address string) (*runner.Runner, error) {
	d.mu.Lock()
	reg := d.runners[id]
	retired := d.retired[serviceVersion{reg.service, reg.version}]
	d.mu.Unlock()
	if retired {
		return nil, nil
	}
	return d.addRunner(reg.service, reg.version, address, reg.options)
}

// RetireVersion kills all runners of a version of a service, as the platform does with the old
// version when a move is completed. No more of them start.
func (d *Deployment) RetireVersion(service, version string) {
	d.mu.Lock()
	d.retired[serviceVersion{service, version}] = true
	d.mu.Unlock()
	for _, r := range d.Runners(service) {
		if d.Version(r.ID) == version {
			d.Kill(r.ID)
		}
	}
}

// MoveState returns the state in the status row of the last move of a service to a version, or an
// empty text.
func (d *Deployment) MoveState(service, version string) string {
	for _, row := range d.Store.Rows("status") {
		var status struct {
			State string `json:"state"`
			To    string `json:"to"`
		}
		if row.Key == "rollout/"+service && json.Unmarshal(row.Value, &status) == nil && status.To == version {
			return status.State
		}
	}
	return ""
}

// OrderMove writes the operator's order to move a service to a version. It returns once the store
// has it.
func (d *Deployment) OrderMove(service, version string, duration time.Duration) {
	value, err := json.Marshal(object{"service": service, "to": version, "duration_s": duration.Seconds()})
	if err != nil {
		// A map of strings and numbers can always be encoded.
		panic(err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.putOperatorRow("rollout/"+service, value)
}

// Version returns the version of a runner, also of one that is dead, or an empty text.
func (d *Deployment) Version(runnerID string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reg := d.runners[runnerID]; reg != nil {
		return reg.version
	}
	return ""
}
