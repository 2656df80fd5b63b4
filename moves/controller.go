package moves

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/configuration"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/lease"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/template/store"
)

// Servers gives access to the backend servers of moves.
type Servers interface {
	// Describe returns a backend server, its loaded versions of all models (ready or not),
	// and whether it is down.
	Describe(id wigeonfork.BackendServerID) (server rollout.Server, loaded []backend.LoadedVersion, down bool)
	// Order sends an order to the agent beside a backend server.
	Order(ctx context.Context, id wigeonfork.BackendServerID, order backend.Order) error
}

// Options configures a Controller.
type Options struct {
	Host    wigeonfork.HostID
	Owner   string // must be unique to this process start
	Address string // to which evidence is sent; see SetAddress
	Table   infra.Table
	Store   *store.Store
	Keeper  *configuration.Keeper
	Weights infra.Weights
	Servers Servers
	// Candidates returns the listed entries. A few of them are chosen for each deployment.
	Candidates func() []wigeonfork.HostID
	Log        *telemetry.Logger
	Metrics    telemetry.Registry
}

const (
	// candidatesPerMove is the number of entries that try to acquire the lease of a deployment.
	candidatesPerMove = 3
	// stepInterval is the interval between two ticks of a move.
	stepInterval = 200 * time.Millisecond
	// callTimeout bounds one table access or one order.
	callTimeout = 5 * time.Second
)

// Controller drives the moves whose leases this entry holds.
type Controller struct {
	options Options

	mu      sync.Mutex
	drivers map[string]*driver
	// ended holds the ids of the moves in the configuration that need no further work.
	ended map[string]bool
	wait  sync.WaitGroup
}

// NewController returns a Controller without moves.
func NewController(options Options) *Controller {
	return &Controller{options: options, drivers: map[string]*driver{}, ended: map[string]bool{}}
}

// SetAddress sets the address to which evidence for this controller is sent. Call it before
// Run.
func (c *Controller) SetAddress(address string) { c.options.Address = address }

// Run tries to acquire the leases of moves under way, and drives those moves, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		config := c.options.Keeper.Config()
		c.track(ctx, &config)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.wait.Wait()
			return
		}
	}
}

// track starts a driver for each move that this entry is a candidate for, and stops the
// drivers of moves that are gone or that it is no longer a candidate for.
func (c *Controller) track(ctx context.Context, config *template.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := c.options.Candidates()
	present := map[string]bool{}
	for i := range config.Deployments {
		d := &config.Deployments[i]
		if d.Move == nil || !isCandidate(c.options.Host, candidates, string(d.Name)) {
			continue
		}
		id := ID(d)
		present[id] = true
		existing := c.drivers[id]
		switch {
		case c.ended[id]:
		case existing == nil:
			c.start(ctx, id, d)
		case existing.closed():
			c.finish(id, existing)
		default:
			existing.update(d)
		}
	}
	for id := range c.ended {
		if !present[id] {
			delete(c.ended, id)
		}
	}
	for id, running := range c.drivers {
		if !present[id] {
			running.cancel()
			delete(c.drivers, id)
		}
	}
}

// finish ends the driver of a move that needs no further work, and so releases its lease.
func (c *Controller) finish(id string, ended *driver) {
	ended.cancel()
	delete(c.drivers, id)
	c.ended[id] = true
}

func (c *Controller) start(ctx context.Context, id string, d *template.Deployment) {
	driverCtx, cancel := context.WithCancel(ctx)
	next := newDriver(c.options, id, d, cancel)
	c.drivers[id] = next
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		next.run(driverCtx)
	}()
}

// Merge adds the evidence reported by an entry.
func (c *Controller) Merge(now time.Time, report Report) {
	c.mu.Lock()
	existing := c.drivers[report.Move]
	c.mu.Unlock()
	if existing != nil {
		existing.merge(now, report.Evidence)
	}
}

// Status returns the status of a move, or false if this entry does not hold its lease.
func (c *Controller) Status(now time.Time, id string) (rollout.Status, bool) {
	c.mu.Lock()
	existing := c.drivers[id]
	c.mu.Unlock()
	if existing == nil {
		return rollout.Status{}, false
	}
	return existing.status(now)
}

// leaseConfig returns the configuration of a deployment's lease.
func leaseConfig(d template.DeploymentName, owner string) lease.Config {
	return lease.Config{Scope: Scope(d), Owner: owner}.WithDefaults()
}

// Scope returns the scope of a deployment's lease. Orders carry it.
func Scope(d template.DeploymentName) string { return "deployment/" + string(d) }
