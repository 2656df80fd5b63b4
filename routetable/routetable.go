// Package routetable holds one accepted version of the callers' configuration: which request goes
// to which service, which keys are valid and what callers may send. A Table is immutable, so that
// a request sees one version throughout.
package routetable

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
)

// Kind states how the requests of a route may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests are idempotent.
	KindSafe
	// KindStream requests are answered by events with growing ids.
	KindStream
)

var kindNames = [...]string{"unsafe", "safe", "stream"}

// String returns the name of k in logs and metrics.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// Target is a service that receives a weighted share of a route's traffic.
type Target struct {
	Service wigeonfork.Model
	Weight  int
}

// Route defines how the requests under one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may continue at another backend server.
	Resumable bool
	// Timeout is the longest time that a caller waits. 0 sets no limit.
	Timeout time.Duration
	// LatencyObjective is the objective for the time to the answer, or to the first
	// event of a stream.
	LatencyObjective time.Duration
	// GapObjective is the objective for the pause between two events of a stream.
	GapObjective time.Duration
	// Priority is the priority of the route's requests. 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the backend servers that one request may run on.
	MaxAttempts int
	// Public routes need no key.
	Public  bool
	Targets []Target
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Pick returns the service for a request. The same hash gives the same service, and
// uniform hashes are shared by the weights of the targets.
func (r *Route) Pick(hash uint64) wigeonfork.Model {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	point := int(hash % uint64(total))
	for _, target := range r.Targets {
		if point < target.Weight {
			return target.Service
		}
		point -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// MemoryTokens is the number of running and cached tokens that fit into one engine.
	MemoryTokens int
	// Backups is set if an engine can copy the KV cache of a running request to another engine.
	Backups bool
	// Moves is set if an engine copies the KV cache of a running request to another engine when it is asked to.
	Moves bool
	// EventTokens is the number of tokens per event of a stream.
	EventTokens int
}

// Service is a set of backend servers that serve the same requests.
type Service struct {
	Name wigeonfork.Model
	// MaxConnections is the limit of connections to a backend server, which all gateways share.
	// 0 means none.
	MaxConnections int
	// HealthPath is the request target at which a backend server reports its health and id.
	HealthPath string
	// Engine is nil for a plain service.
	Engine *Engine
}

// Tenant is a workspace with its keys.
type Tenant struct {
	Workspace wigeonfork.Workspace
	Keys      []string
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send. Zero values set no limit.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	// IdleTimeout is how long a caller may keep a connection without a request, and HeaderTimeout
	// how long it may take to send the head of one.
	IdleTimeout, HeaderTimeout time.Duration
}

// Spec is the content of a Table.
type Spec struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Tenants  []Tenant
	// RequiresKey is set if requests need a key, even if no tenant holds one.
	RequiresKey bool
	Limits      Limits
}

// Table is one version of the configuration.
type Table struct {
	spec     Spec
	hosts    map[string]map[string]*Route
	services map[wigeonfork.Model]*Service
	keys     map[string]*Tenant
	// urgencies holds the distinct urgencies of each service's requests, the most urgent first.
	urgencies map[wigeonfork.Model][]urgency
}

// New returns a Table of spec. It fails on a route without a target or with a
// prefix that does not begin and end with a slash.
func New(spec Spec) (*Table, error) {
	t := &Table{
		spec:     spec,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[wigeonfork.Model]*Service, len(spec.Services)),
		keys:     make(map[string]*Tenant),
	}
	for i := range spec.Routes {
		if err := t.addRoute(&spec.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range spec.Services {
		t.services[spec.Services[i].Name] = &spec.Services[i]
	}
	for i := range spec.Tenants {
		for _, key := range spec.Tenants[i].Keys {
			t.keys[key] = &spec.Tenants[i]
		}
	}
	t.urgencies = t.findUrgencies()
	return t, nil
}

func (t *Table) addRoute(route *Route) error {
	if len(route.Targets) == 0 {
		return errors.Newf("route %q has no service", route.Name)
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return errors.Newf("route %q: prefix %q must begin and end with a slash", route.Name, route.Prefix)
	}
	host := strings.ToLower(route.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = make(map[string]*Route)
	}
	t.hosts[host][route.Prefix] = route
	return nil
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.spec.Version }

// Limits returns the bounds of what callers may send.
func (t *Table) Limits() Limits { return t.spec.Limits }

// Services returns all services.
func (t *Table) Services() []Service { return t.spec.Services }

// Service returns the service called name, or nil.
func (t *Table) Service(name wigeonfork.Model) *Service { return t.services[name] }

// IsSoleEngineService reports whether name is the only service of model engines. If so, a
// discovered engine must belong to it.
func (t *Table) IsSoleEngineService(name wigeonfork.Model) bool {
	engines := 0
	for i := range t.spec.Services {
		if t.spec.Services[i].Engine != nil {
			engines++
		}
	}
	own := t.services[name]
	return engines == 1 && own != nil && own.Engine != nil
}

// RequiresKey reports whether requests need a key.
func (t *Table) RequiresKey() bool { return t.spec.RequiresKey || len(t.spec.Tenants) > 0 }

// Tenant returns the tenant that holds key, or nil.
func (t *Table) Tenant(key string) *Tenant { return t.keys[key] }

// urgency orders the requests of one service: by the priority of the request, then by that
// of its route. A lower number is more urgent.
type urgency struct {
	priority, routePriority int
}

func compareUrgency(a, b urgency) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.routePriority, b.routePriority))
}

// urgencyOf returns the urgency of a request. The priority of its tenant takes precedence
// over that of its route. tenant may be nil.
func urgencyOf(route *Route, tenant *Tenant) urgency {
	if tenant != nil && tenant.HasPriority {
		return urgency{tenant.Priority, route.Priority}
	}
	return urgency{route.Priority, route.Priority}
}

// Rank returns the rank of a request for a service, from 0, the most urgent, to Ranks - 1 but at
// most wigeonfork.MaxRank. tenant may be nil.
func (t *Table) Rank(service wigeonfork.Model, route *Route, tenant *Tenant) wigeonfork.Rank {
	at, _ := slices.BinarySearchFunc(t.urgencies[service], urgencyOf(route, tenant), compareUrgency)
	return wigeonfork.Rank(min(at, int(wigeonfork.MaxRank)))
}

// Ranks returns the number of distinct urgencies of requests for a service. Those beyond
// wigeonfork.MaxRank share that rank.
func (t *Table) Ranks(service wigeonfork.Model) int { return len(t.urgencies[service]) }

// Ranked reports whether requests for a service may differ in rank.
func (t *Table) Ranked(service wigeonfork.Model) bool { return t.Ranks(service) > 1 }

// findUrgencies returns the urgencies that requests for each service may have, the most
// urgent first. A tenant may call every route that isn't public.
func (t *Table) findUrgencies() map[wigeonfork.Model][]urgency {
	found := make(map[wigeonfork.Model][]urgency)
	add := func(route *Route, tenant *Tenant) {
		for _, target := range route.Targets {
			list := found[target.Service]
			at, known := slices.BinarySearchFunc(list, urgencyOf(route, tenant), compareUrgency)
			if !known {
				found[target.Service] = slices.Insert(list, at, urgencyOf(route, tenant))
			}
		}
	}
	for i := range t.spec.Routes {
		route := &t.spec.Routes[i]
		if route.Public || len(t.spec.Tenants) == 0 {
			add(route, nil)
			continue
		}
		for k := range t.spec.Tenants {
			add(route, &t.spec.Tenants[k])
		}
	}
	return found
}

// Match returns the route of host with the longest prefix that matches path, or nil.
// A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	routes := t.hosts[strings.ToLower(host)]
	if routes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := routes[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}
