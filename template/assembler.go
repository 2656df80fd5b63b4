package template

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/revision"
)

// Assembler builds the configuration from items and keeps it up to date. It is
// not safe for concurrent use. It never modifies a configuration or snapshot
// that it has returned.
type Assembler struct {
	revision    wigeonfork.Revision
	templates   map[Name]Template
	deployments map[DeploymentName]*deploymentState
	snapshot    *Snapshot
}

// deploymentState holds a deployment as separate items. core is nil if the
// deployment was deleted, or its own item is missing or malformed. last is the deployment
// as of the last rebuild. Since then, the items of dirtyWorkspaces have changed,
// and other items if dirty is set.
type deploymentState struct {
	core            *Deployment
	deleted         bool
	servers         map[wigeonfork.BackendServerID]struct{}
	bindings        map[wigeonfork.Workspace]Values
	last            *Deployment
	dirty           bool
	dirtyWorkspaces map[wigeonfork.Workspace]struct{}
}

// NewAssembler returns an Assembler that holds the empty configuration.
func NewAssembler() *Assembler {
	return &Assembler{
		templates:   make(map[Name]Template),
		deployments: make(map[DeploymentName]*deploymentState),
	}
}

// Install applies a delta that a revision.Node installed. An item that cannot be
// decoded is skipped and reported in the error. All other items are applied.
func (a *Assembler) Install(d revision.Delta) error {
	if d.Full() {
		*a = *NewAssembler()
	}
	var failed error
	for i := range d.Items {
		if err := a.applyItem(&d.Items[i]); err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "item %s", d.Items[i].Key))
		}
	}
	a.revision = d.To
	return failed
}

func (a *Assembler) applyItem(item *revision.Item) error {
	switch {
	case strings.HasPrefix(item.Key, templatePrefix):
		return a.applyTemplate(item)
	case strings.HasPrefix(item.Key, deploymentPrefix):
		return a.applyDeploymentItem(item)
	default:
		return errors.New("unknown kind")
	}
}

func (a *Assembler) applyTemplate(item *revision.Item) error {
	name := Name(strings.TrimPrefix(item.Key, templatePrefix))
	for _, d := range a.deployments {
		d.dirty = d.dirty || (d.core != nil && d.core.Template == name)
	}
	if item.Deleted {
		delete(a.templates, name)
		return nil
	}
	var t Template
	if err := json.Unmarshal(item.Value, &t); err != nil {
		return err
	}
	a.templates[name] = t
	return nil
}

func (a *Assembler) applyDeploymentItem(item *revision.Item) error {
	p, ok := parseDeploymentItemKey(item.Key)
	if !ok {
		return errors.New("unknown part of a deployment")
	}
	d := a.deploymentState(p.deployment)
	if p.workspace == "" {
		d.dirty = true
	} else {
		d.dirtyWorkspaces[p.workspace] = struct{}{}
	}
	switch {
	case p.server != "":
		return d.applyServer(p.server, item)
	case p.workspace != "":
		return d.applyBinding(p.workspace, item)
	default:
		return d.applyCore(item)
	}
}

func (a *Assembler) deploymentState(name DeploymentName) *deploymentState {
	d, found := a.deployments[name]
	if !found {
		d = &deploymentState{
			servers:         make(map[wigeonfork.BackendServerID]struct{}),
			bindings:        make(map[wigeonfork.Workspace]Values),
			dirtyWorkspaces: make(map[wigeonfork.Workspace]struct{}),
		}
		a.deployments[name] = d
	}
	return d
}

func (d *deploymentState) applyServer(id wigeonfork.BackendServerID, item *revision.Item) error {
	if item.Deleted {
		delete(d.servers, id)
		return nil
	}
	d.servers[id] = struct{}{}
	return nil
}

func (d *deploymentState) applyBinding(workspace wigeonfork.Workspace, item *revision.Item) error {
	if item.Deleted {
		delete(d.bindings, workspace)
		return nil
	}
	var values Values
	if len(item.Value) > 0 {
		if err := json.Unmarshal(item.Value, &values); err != nil {
			return err
		}
	}
	d.bindings[workspace] = values
	return nil
}

func (d *deploymentState) applyCore(item *revision.Item) error {
	d.deleted = item.Deleted
	if item.Deleted {
		d.core = nil
		return nil
	}
	var core Deployment
	if err := json.Unmarshal(item.Value, &core); err != nil {
		return err
	}
	d.core = &core
	return nil
}

// Config returns the current configuration.
func (a *Assembler) Config() Config {
	a.rebuildSnapshot()
	c := Config{Revision: a.revision}
	for _, name := range slices.Sorted(maps.Keys(a.templates)) {
		c.Templates = append(c.Templates, a.templates[name])
	}
	for _, name := range slices.Sorted(maps.Keys(a.deployments)) {
		if d := a.deployments[name]; d.last != nil {
			c.Deployments = append(c.Deployments, *d.last)
		}
	}
	return c
}

// Snapshot returns a view of the current configuration. It shares unchanged
// routes with the previous snapshot.
func (a *Assembler) Snapshot() *Snapshot {
	a.rebuildSnapshot()
	return a.snapshot
}

// rebuildSnapshot applies the changes since the last rebuild to a new snapshot.
func (a *Assembler) rebuildSnapshot() {
	if a.snapshot != nil && a.snapshot.revision == a.revision {
		return
	}
	if a.snapshot == nil {
		a.snapshot = emptySnapshot(a.revision)
	}
	next := a.snapshot.clone(a.revision)
	for name, d := range a.deployments {
		if d.dirty {
			next.remove(name)
		} else {
			next.removeDirtyRoutes(name, d)
		}
	}
	for name, d := range a.deployments {
		a.updateDeployment(next, name, d)
	}
	a.snapshot = next
}

// updateDeployment writes the changed parts of a deployment to next.
func (a *Assembler) updateDeployment(next *Snapshot, name DeploymentName, d *deploymentState) {
	switch {
	case d.core == nil:
		d.last = nil
	case d.dirty:
		d.last = d.assemble()
		next.add(d.last, a.template(d.core.Template), nil)
	case len(d.dirtyWorkspaces) > 0:
		d.last = d.withDirtyBindings()
		next.addDirtyRoutes(name, d, a.template(d.core.Template))
	}
	d.dirty = false
	clear(d.dirtyWorkspaces)
}

func (a *Assembler) template(name Name) *Template {
	t, found := a.templates[name]
	if !found {
		return nil
	}
	return &t
}

// removeDirtyRoutes removes the routes of the changed workspaces.
func (s *Snapshot) removeDirtyRoutes(name DeploymentName, d *deploymentState) {
	r, found := s.deployments[name]
	if !found {
		return
	}
	for workspace := range d.dirtyWorkspaces {
		s.removeRoute(&r.deployment, workspace)
	}
}

// addDirtyRoutes adds the routes of those changed workspaces that are still bound.
func (s *Snapshot) addDirtyRoutes(name DeploymentName, d *deploymentState, t *Template) {
	old := s.deployments[name]
	r := &resolvedDeployment{deployment: *d.last, servers: old.servers, versions: old.versions}
	s.deployments[name] = r
	for workspace := range d.dirtyWorkspaces {
		if values, found := d.bindings[workspace]; found {
			s.addRoute(r, &Binding{workspace, values}, t)
		}
	}
}

func (d *deploymentState) assemble() *Deployment {
	deployment := *d.core
	deployment.BackendServers = slices.Sorted(maps.Keys(d.servers))
	deployment.Workspaces = make([]Binding, 0, len(d.bindings))
	for workspace, values := range d.bindings {
		deployment.Workspaces = append(deployment.Workspaces, Binding{workspace, values})
	}
	slices.SortFunc(deployment.Workspaces, compareBinding)
	return &deployment
}

// withDirtyBindings returns the last deployment with its changed bindings applied.
func (d *deploymentState) withDirtyBindings() *Deployment {
	deployment := *d.last
	deployment.Workspaces = slices.Clone(deployment.Workspaces)
	for workspace := range d.dirtyWorkspaces {
		i, found := slices.BinarySearchFunc(deployment.Workspaces, Binding{Workspace: workspace}, compareBinding)
		values, bound := d.bindings[workspace]
		switch {
		case found && bound:
			deployment.Workspaces[i].Values = values
		case found:
			deployment.Workspaces = slices.Delete(deployment.Workspaces, i, i+1)
		case bound:
			deployment.Workspaces = slices.Insert(deployment.Workspaces, i, Binding{workspace, values})
		}
	}
	return &deployment
}

func compareBinding(a, b Binding) int { return cmp.Compare(a.Workspace, b.Workspace) }

// sorted returns d with sorted workspaces and backend servers. Deployments are
// kept in this form.
func (d Deployment) sorted() Deployment {
	d.BackendServers = slices.Sorted(slices.Values(d.BackendServers))
	d.Workspaces = slices.Clone(d.Workspaces)
	slices.SortFunc(d.Workspaces, compareBinding)
	return d
}
