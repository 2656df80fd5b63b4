// Package deployment runs stand-ins for the users' platform on loopback: its metadata store, model
// runners and plain backend servers that register there, and the operator's configuration.
package deployment

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/loopback"
	"github.com/wigeonfork/wigeonfork/standin/rowstore"
	"github.com/wigeonfork/wigeonfork/standin/runner"
)

// Names in the configuration of every deployment. Engines and Plain are the services of the model
// runners and of the plain backend servers.
const (
	Host       = "callers.example"
	APIKey     = "key-of-a"
	Tenant     = "tenant-a"
	StreamPath = "/stream/"
	// OncePath is the path of streams that may not continue at another runner.
	OncePath = "/once/"
	// UrgentPath and LatePath are the paths of streams that are more and less urgent than those of StreamPath. They have
	// routes only if Options.Competing is set.
	UrgentPath        = "/urgent/"
	LatePath          = "/late/"
	SafePath          = "/safe/"
	UnsafePath        = "/unsafe/"
	Engines           = "engines"
	Plain             = "plain"
	heartbeatInterval = 300 * time.Millisecond
	// uncountedMemory is the memory in tokens that the configuration names for model runners that don't count theirs.
	uncountedMemory = 100000
	// FirstVersion is the version of the runners that a deployment starts with.
	FirstVersion = "v1"
)

// Options configure a Deployment.
type Options struct {
	// Moves is set if engines copy the KV cache of a run when they are asked to.
	Moves bool
	// Engines is the number of model runners, Plain that of plain backend servers.
	Engines int
	Plain   int
	// Engine holds the options of the model runners, PlainServer those of the plain backend
	// servers.
	Engine, PlainServer runner.Options
	// StreamTimeout and PlainTimeout are the timeouts of the routes.
	StreamTimeout, PlainTimeout time.Duration
	// CrashingBodies are the bodies of requests that crash each runner that begins to run them.
	// It crashes after CrashDelay and is back after CrashRestart, at its address and under a new id.
	// With CrashesSilent it stops responding and its connections stay open.
	CrashingBodies []string
	CrashDelay     time.Duration
	// CrashingParts are the ids of prompt parts that crash each model runner when it would write the
	// first event of its answer. The runner is back as after a crash by a body.
	CrashingParts []string
	CrashRestart  time.Duration
	CrashesSilent bool
	// Competing adds the routes of UrgentPath and LatePath, and leaves out the tenant's priority, so that the route's counts.
	Competing bool
}

// Deployment is a running set of stand-ins.
type Deployment struct {
	Store   *rowstore.Store
	Shared  *runner.SharedState
	options Options
	server  *loopback.Server

	mu      sync.Mutex
	runners map[string]*registration
	started int
	version int
	keys    []string
	crashes map[string]bool // by body
	parts   map[string]bool // by id of the part
	// operatorRows are the rows that the operator last wrote, by key.
	operatorRows map[string][]byte
	// retired holds the versions of which no more runners start.
	retired map[serviceVersion]bool
	stop    chan struct{}
	wait    sync.WaitGroup
}

// registration is a runner with the state that its row in the store shows.
type registration struct {
	*runner.Runner
	service  string
	zone     string
	version  string
	options  runner.Options
	sequence int
	draining bool
	dead     bool
}

// Start starts a deployment.
func Start(options Options) (*Deployment, error) {
	d := &Deployment{
		Store: rowstore.New(), Shared: runner.NewSharedState(), options: options,
		runners: make(map[string]*registration), stop: make(chan struct{}), keys: []string{APIKey},
		crashes: make(map[string]bool), parts: make(map[string]bool), operatorRows: make(map[string][]byte),
		retired: make(map[serviceVersion]bool),
	}
	for _, id := range options.CrashingParts {
		d.parts[id] = true
	}
	for _, body := range options.CrashingBodies {
		d.crashes[body] = true
	}
	var err error
	if d.server, err = loopback.Start("127.0.0.1:0", d.Store.Handler()); err != nil {
		return nil, err
	}
	for range options.Engines {
		if _, err := d.AddRunner(Engines, "127.0.0.1:0"); err != nil {
			return nil, err
		}
	}
	for range options.Plain {
		if _, err := d.AddRunner(Plain, "127.0.0.1:0"); err != nil {
			return nil, err
		}
	}
	d.Configure()
	d.wait.Go(d.heartbeat)
	return d, nil
}

// StoreAddress returns the IP and port of the store.
func (d *Deployment) StoreAddress() string { return d.server.Addr() }

// AddRunner starts one more runner of a service, Engines or Plain, on address, such as 127.0.0.1:0,
// and registers it.
func (d *Deployment) AddRunner(service, address string) (*runner.Runner, error) {
	options := d.options.PlainServer
	if service == Engines {
		options = d.options.Engine
	}
	return d.addRunner(service, FirstVersion, address, options)
}

func (d *Deployment) addRunner(service, version, address string, options runner.Options) (*runner.Runner, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started++
	reg := &registration{service: service, version: version, options: options, zone: fmt.Sprintf("zone-%d", d.started%3)}
	options.Crashes, options.CrashDelay, options.CrashingParts = d.crashes, d.options.CrashDelay, d.parts
	options.OnCrash = func(r *runner.Runner) { d.wait.Go(func() { d.crash(r) }) }
	r, err := runner.Start(address, fmt.Sprintf("i-%d", d.started), options, d.Shared)
	if err != nil {
		return nil, err
	}
	reg.Runner = r
	d.runners[r.ID] = reg
	d.register(reg)
	return r, nil
}

// Runners returns the runners of a service that Kill has not killed, in no particular order.
func (d *Deployment) Runners(service string) []*runner.Runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*runner.Runner
	for _, reg := range d.runners {
		if reg.service == service && !reg.dead {
			list = append(list, reg.Runner)
		}
	}
	return list
}

// Runner returns the runner with the given id, or nil.
func (d *Deployment) Runner(id string) *runner.Runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reg := d.runners[id]; reg != nil {
		return reg.Runner
	}
	return nil
}

// Kill kills a runner without deregistering it. Its row stays in the store for three heartbeat
// intervals. It returns false if the runner is dead already.
func (d *Deployment) Kill(id string) bool {
	if !d.markDead(id) {
		return false
	}
	d.Runner(id).Server().Kill()
	return true
}

// crash ends a runner that a request has crashed, and starts another at its address after
// CrashRestart.
func (d *Deployment) crash(r *runner.Runner) {
	if !d.markDead(r.ID) {
		return
	}
	if d.options.CrashesSilent {
		r.Server().Pause()
	} else {
		r.Server().Kill()
	}
	select {
	case <-d.stop:
		return
	case <-time.After(d.options.CrashRestart):
	}
	r.Server().Close()
	if _, err := d.Replace(r.ID, r.Address()); err != nil {
		// The address was reserved, so another process of the test took it.
		panic(err)
	}
}

// markDead ends the heartbeats of a runner, and returns false if they have ended. Its row is removed
// after three heartbeat intervals.
func (d *Deployment) markDead(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runners[id].dead {
		return false
	}
	d.runners[id].dead = true
	time.AfterFunc(3*heartbeatInterval, func() { d.Store.Delete("servers", id) })
	return true
}

// Drain changes the state of a runner's row to draining. The runner itself goes on serving.
func (d *Deployment) Drain(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runners[id].draining = true
	d.register(d.runners[id])
}

func (d *Deployment) register(reg *registration) {
	reg.sequence++
	state := "ready"
	if reg.draining {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"service": reg.service, "address": reg.Address(), "zone": reg.zone, "version": reg.version, "slots": 64,
		"state": state, "cold_remaining_ms": 0, "sequence": reg.sequence, "born": reg.Born,
	})
	if err != nil {
		// A map of strings and numbers can always be encoded.
		panic(err)
	}
	d.Store.Put("servers", reg.ID, value)
}

// heartbeat writes the rows of the live runners at each interval, until stop is closed.
func (d *Deployment) heartbeat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
		}
		d.mu.Lock()
		for _, reg := range d.runners {
			if !reg.dead {
				d.register(reg)
			}
		}
		d.mu.Unlock()
	}
}

// SetKeys replaces the tenant's API keys and writes the configuration.
func (d *Deployment) SetKeys(keys ...string) {
	d.mu.Lock()
	d.keys = keys
	d.mu.Unlock()
	d.Configure()
}

type object = map[string]any

// Configure writes the next version of the configuration. Version numbers increase but are not
// consecutive.
func (d *Deployment) Configure() { d.ConfigureWith(func(*Configuration) {}) }

// Configuration is the content of a configuration, as it is written to the store.
type Configuration struct {
	Version  int      `json:"version"`
	Routes   []object `json:"routes"`
	Services []object `json:"services"`
	Limits   object   `json:"limits"`
	Tenants  []object `json:"tenants"`
}

// ConfigureWith writes the next version of the configuration as changed by change. The next one
// does not have the change.
func (d *Deployment) ConfigureWith(change func(*Configuration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 3
	route := func(name, prefix, kind, service string, timeout time.Duration, attempts int) object {
		return object{
			"name": name, "host": Host, "prefix": prefix, "kind": kind, "service": service, "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": 2000, "target_gap_ms": 700, "priority": 1, "max_attempts": attempts, "public": false,
			"resumable": service == Engines && prefix != OncePath,
		}
	}
	memory := d.options.Engine.Memory.Tokens
	if memory == 0 {
		memory = uncountedMemory
	}
	c := &Configuration{
		Version: d.version,
		Routes: []object{
			route("streams", StreamPath, "streaming", Engines, d.options.StreamTimeout, 5),
			route("once", OncePath, "streaming", Engines, d.options.StreamTimeout, 5),
			route("safe", SafePath, "safe", Plain, d.options.PlainTimeout, 2),
			route("unsafe", UnsafePath, "unsafe", Plain, d.options.PlainTimeout, 1),
		},
		Services: []object{
			{"name": Engines, "health_path": "/health", "max_connections": 300,
				"engine": object{"kv_tokens": memory, "backups": true, "moves": d.options.Moves, "stride": 1}},
			{"name": Plain, "health_path": "/health", "max_connections": 300},
		},
		Limits:  object{"max_header_bytes": 16384, "max_body_bytes": 4096, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants: []object{{"name": Tenant, "api_keys": d.keys, "priority": 1}},
	}
	if d.options.Competing {
		compete(c, route("urgent", UrgentPath, "streaming", Engines, d.options.StreamTimeout, 5),
			route("late", LatePath, "streaming", Engines, d.options.StreamTimeout, 5))
	}
	change(c)
	value, err := json.Marshal(c)
	if err != nil {
		// A map of strings and numbers can always be encoded.
		panic(err)
	}
	d.putOperatorRow("config", value)
}

// compete adds the routes of more and less urgent streams, and removes the tenant's own priority.
func compete(c *Configuration, urgent, late object) {
	urgent["priority"], late["priority"] = 0, 2
	c.Routes = append(c.Routes, urgent, late)
	delete(c.Tenants[0], "priority")
}

// Close closes all stand-ins.
func (d *Deployment) Close() {
	close(d.stop)
	d.wait.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, reg := range d.runners {
		reg.Server().Close()
	}
	d.server.Close()
}
