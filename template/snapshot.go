package template

import (
	"maps"
	"slices"

	"github.com/wigeonfork/wigeonfork"
)

// Snapshot is an immutable view of the configuration at one revision. It is
// safe for concurrent use. Its lookups don't allocate.
type Snapshot struct {
	revision    wigeonfork.Revision
	deployments map[DeploymentName]*resolvedDeployment
	routes      map[routeKey]*Route
	// workspaces counts the routes of each workspace.
	workspaces map[wigeonfork.Workspace]int
}

type routeKey struct {
	workspace wigeonfork.Workspace
	model     wigeonfork.Model
}

// resolvedDeployment is a deployment with the data that its routes share.
type resolvedDeployment struct {
	deployment Deployment
	servers    *ServerSet
	versions   []VersionShare
}

// Route holds the configuration of one request. It is resolved once per
// request, and all later steps use this route and its revision. Values holds the
// defaults of the template, overridden by the values of the deployment and then
// by those of the workspace. Slices and maps must not be modified.
type Route struct {
	Revision      wigeonfork.Revision
	Deployment    DeploymentName
	Workspace     wigeonfork.Workspace
	Model         wigeonfork.Model
	Versions      []VersionShare
	Servers       *ServerSet
	Values        Values
	ChecksFencing bool
}

// ServerSet is an immutable set of backend servers.
type ServerSet struct {
	ordered []wigeonfork.BackendServerID
	index   map[wigeonfork.BackendServerID]struct{}
}

// Contains reports whether id is in the set.
func (s *ServerSet) Contains(id wigeonfork.BackendServerID) bool {
	_, found := s.index[id]
	return found
}

// Len returns the number of backend servers in the set.
func (s *ServerSet) Len() int { return len(s.ordered) }

// At returns the backend server at index i in the order of IDs.
func (s *ServerSet) At(i int) wigeonfork.BackendServerID { return s.ordered[i] }

func newServerSet(ids []wigeonfork.BackendServerID) *ServerSet {
	set := &ServerSet{
		ordered: slices.Sorted(slices.Values(ids)),
		index:   make(map[wigeonfork.BackendServerID]struct{}, len(ids)),
	}
	for _, id := range ids {
		set.index[id] = struct{}{}
	}
	return set
}

// NewSnapshot returns a snapshot of config. stops apply in addition to those that
// config records. A stopped version takes no traffic.
func NewSnapshot(config Config, stops []Stop) *Snapshot {
	s := emptySnapshot(config.Revision)
	for i := range config.Deployments {
		d := &config.Deployments[i]
		s.add(d, config.Template(d.Template), stops)
	}
	return s
}

func emptySnapshot(at wigeonfork.Revision) *Snapshot {
	return &Snapshot{
		revision:    at,
		deployments: make(map[DeploymentName]*resolvedDeployment),
		routes:      make(map[routeKey]*Route),
		workspaces:  make(map[wigeonfork.Workspace]int),
	}
}

// add adds a deployment to a snapshot that is not shared yet.
func (s *Snapshot) add(d *Deployment, t *Template, stops []Stop) {
	r := &resolvedDeployment{
		deployment: *d,
		servers:    newServerSet(d.BackendServers),
		versions:   servingVersions(d, stops),
	}
	s.deployments[d.Name] = r
	for i := range d.Workspaces {
		s.addRoute(r, &d.Workspaces[i], t)
	}
}

func (s *Snapshot) addRoute(r *resolvedDeployment, b *Binding, t *Template) {
	d := &r.deployment
	key := routeKey{b.Workspace, d.Model}
	if s.routes[key] == nil {
		s.workspaces[b.Workspace]++
	}
	s.routes[key] = &Route{
		Deployment:    d.Name,
		Workspace:     b.Workspace,
		Model:         d.Model,
		Versions:      r.versions,
		Servers:       r.servers,
		Values:        mergeValues(t, d.Values, b.Values),
		ChecksFencing: d.ChecksFencing,
	}
}

// removeRoute removes a route of a deployment from a snapshot that is not
// shared yet.
func (s *Snapshot) removeRoute(d *Deployment, workspace wigeonfork.Workspace) {
	key := routeKey{workspace, d.Model}
	route := s.routes[key]
	if route == nil || route.Deployment != d.Name {
		return
	}
	delete(s.routes, key)
	s.workspaces[workspace]--
	if s.workspaces[workspace] == 0 {
		delete(s.workspaces, workspace)
	}
}

func (s *Snapshot) remove(name DeploymentName) {
	r, found := s.deployments[name]
	if !found {
		return
	}
	delete(s.deployments, name)
	for i := range r.deployment.Workspaces {
		s.removeRoute(&r.deployment, r.deployment.Workspaces[i].Workspace)
	}
}

// clone returns a copy at revision at that can be modified until it is shared.
func (s *Snapshot) clone(at wigeonfork.Revision) *Snapshot {
	return &Snapshot{
		revision:    at,
		deployments: maps.Clone(s.deployments),
		routes:      maps.Clone(s.routes),
		workspaces:  maps.Clone(s.workspaces),
	}
}

// servingVersions returns the versions of d that take traffic.
func servingVersions(d *Deployment, stops []Stop) []VersionShare {
	versions := make([]VersionShare, 0, len(d.Versions))
	for _, v := range d.Versions {
		if v.Share > 0 && !d.Stopped(v.Version) && !hasStop(stops, d.Name, v.Version) {
			versions = append(versions, v)
		}
	}
	return versions
}

func hasStop(stops []Stop, name DeploymentName, version wigeonfork.Version) bool {
	return slices.ContainsFunc(stops, func(s Stop) bool {
		return s.Deployment == name && s.Version == version
	})
}

// mergeValues merges the defaults of t with layers. Later layers take precedence.
func mergeValues(t *Template, layers ...Values) Values {
	merged := Values{}
	if t != nil {
		for _, p := range t.Parameters {
			if p.Default != nil {
				merged[p.Name] = *p.Default
			}
		}
	}
	for _, layer := range layers {
		for name, value := range layer {
			merged[name] = value
		}
	}
	return merged
}

// Revision returns the revision of the configuration.
func (s *Snapshot) Revision() wigeonfork.Revision { return s.revision }

// Resolve returns the route of a request. It returns false if no deployment
// serves model to workspace.
func (s *Snapshot) Resolve(workspace wigeonfork.Workspace, model wigeonfork.Model) (Route, bool) {
	route, found := s.routes[routeKey{workspace, model}]
	if !found {
		return Route{}, false
	}
	result := *route
	result.Revision = s.revision
	return result, true
}

// KnowsWorkspace reports whether any deployment serves workspace.
func (s *Snapshot) KnowsWorkspace(workspace wigeonfork.Workspace) bool {
	_, found := s.workspaces[workspace]
	return found
}

// Deployment returns the deployment called name. It must not be modified.
func (s *Snapshot) Deployment(name DeploymentName) (*Deployment, bool) {
	r, found := s.deployments[name]
	if !found {
		return nil, false
	}
	return &r.deployment, true
}

// WithStops returns a copy of s with additional stops applied. Unaffected parts are shared.
func (s *Snapshot) WithStops(stops []Stop) *Snapshot {
	next := &Snapshot{
		revision:    s.revision,
		deployments: s.deployments,
		routes:      make(map[routeKey]*Route, len(s.routes)),
		workspaces:  s.workspaces,
	}
	for key, route := range s.routes {
		next.routes[key] = route.withoutStopped(stops)
	}
	return next
}

func (r *Route) withoutStopped(stops []Stop) *Route {
	isStopped := func(v VersionShare) bool { return hasStop(stops, r.Deployment, v.Version) }
	if !slices.ContainsFunc(r.Versions, isStopped) {
		return r
	}
	reduced := *r
	reduced.Versions = slices.DeleteFunc(slices.Clone(r.Versions), isStopped)
	return &reduced
}

// PickVersion selects a version in proportion to the traffic shares. hash is the
// hash of the request's key. It returns false if no version takes traffic.
func (r *Route) PickVersion(hash uint64) (wigeonfork.Version, bool) {
	var sum uint64
	for i := range r.Versions {
		sum += uint64(r.Versions[i].Share)
	}
	if sum == 0 {
		return "", false
	}
	point := hash % sum
	for i := range r.Versions {
		share := uint64(r.Versions[i].Share)
		if point < share {
			return r.Versions[i].Version, true
		}
		point -= share
	}
	return "", false
}

// EachServedBy calls visit for each deployment that lists server.
func (s *Snapshot) EachServedBy(server wigeonfork.BackendServerID, visit func(*Deployment)) {
	for _, r := range s.deployments {
		if r.servers.Contains(server) {
			visit(&r.deployment)
		}
	}
}
