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

// Assembler keeps the configuration as its items change. It is not safe for
// concurrent use; the configurations that it returns are never changed.
type Assembler struct {
	revision    wigeonfork.Revision
	templates   map[Name]Template
	deployments map[DeploymentName]*assembled
	snapshot    *Snapshot
}

// assembled is a deployment in parts. whole is the deployment as it was put
// together last; changed and rebound tell what has changed since.
type assembled struct {
	core     *Deployment
	servers  map[wigeonfork.BackendServerID]struct{}
	bindings map[wigeonfork.Workspace]Values
	whole    *Deployment
	changed  bool
	rebound  map[wigeonfork.Workspace]struct{}
}

// NewAssembler returns an Assembler of the empty configuration.
func NewAssembler() *Assembler {
	return &Assembler{
		templates:   make(map[Name]Template),
		deployments: make(map[DeploymentName]*assembled),
	}
}

// Install applies a delta that a revision.Node installed. It fails on an item
// that it cannot read and then leaves that item as it was.
func (a *Assembler) Install(d revision.Delta) error {
	if d.Full() {
		*a = *NewAssembler()
	}
	var failed error
	for i := range d.Items {
		if err := a.put(&d.Items[i]); err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "item %s", d.Items[i].Key))
		}
	}
	a.revision = d.To
	return failed
}

func (a *Assembler) put(item *revision.Item) error {
	switch {
	case strings.HasPrefix(item.Key, templatePrefix):
		return a.putTemplate(item)
	case strings.HasPrefix(item.Key, deploymentPrefix):
		return a.putPart(item)
	default:
		return errors.New("unknown kind")
	}
}

func (a *Assembler) putTemplate(item *revision.Item) error {
	name := Name(strings.TrimPrefix(item.Key, templatePrefix))
	for _, d := range a.deployments {
		d.changed = d.changed || (d.core != nil && d.core.Template == name)
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

func (a *Assembler) putPart(item *revision.Item) error {
	p, ok := parsePart(item.Key)
	if !ok {
		return errors.New("unknown part of a deployment")
	}
	d := a.parts(p.deployment)
	if p.workspace == "" {
		d.changed = true
	} else {
		d.rebound[p.workspace] = struct{}{}
	}
	switch {
	case p.server != "":
		return d.putServer(p.server, item)
	case p.workspace != "":
		return d.putBinding(p.workspace, item)
	default:
		return d.putCore(item)
	}
}

func (a *Assembler) parts(name DeploymentName) *assembled {
	d, found := a.deployments[name]
	if !found {
		d = &assembled{
			servers:  make(map[wigeonfork.BackendServerID]struct{}),
			bindings: make(map[wigeonfork.Workspace]Values),
			rebound:  make(map[wigeonfork.Workspace]struct{}),
		}
		a.deployments[name] = d
	}
	return d
}

func (d *assembled) putServer(id wigeonfork.BackendServerID, item *revision.Item) error {
	if item.Deleted {
		delete(d.servers, id)
		return nil
	}
	d.servers[id] = struct{}{}
	return nil
}

func (d *assembled) putBinding(workspace wigeonfork.Workspace, item *revision.Item) error {
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

func (d *assembled) putCore(item *revision.Item) error {
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

// Config returns the configuration as it stands.
func (a *Assembler) Config() Config {
	a.settle()
	c := Config{Revision: a.revision}
	for _, name := range slices.Sorted(maps.Keys(a.templates)) {
		c.Templates = append(c.Templates, a.templates[name])
	}
	for _, name := range slices.Sorted(maps.Keys(a.deployments)) {
		if d := a.deployments[name]; d.whole != nil {
			c.Deployments = append(c.Deployments, *d.whole)
		}
	}
	return c
}

// Snapshot returns the view of the configuration as it stands. It shares with
// the one before it all that has not changed.
func (a *Assembler) Snapshot() *Snapshot {
	a.settle()
	return a.snapshot
}

// settle puts together what has changed.
func (a *Assembler) settle() {
	if a.snapshot != nil && a.snapshot.revision == a.revision {
		return
	}
	if a.snapshot == nil {
		a.snapshot = emptySnapshot(a.revision)
	}
	next := a.snapshot.clone(a.revision)
	for name, d := range a.deployments {
		if d.changed {
			next.remove(name)
		} else {
			next.unbind(name, d)
		}
	}
	for name, d := range a.deployments {
		a.place(next, name, d)
	}
	a.snapshot = next
}

// place puts what has changed of a deployment into next.
func (a *Assembler) place(next *Snapshot, name DeploymentName, d *assembled) {
	switch {
	case d.core == nil:
		d.whole = nil
	case d.changed:
		d.whole = d.assemble()
		next.add(d.whole, a.template(d.core.Template), nil)
	case len(d.rebound) > 0:
		d.whole = d.rebind()
		next.rebind(name, d, a.template(d.core.Template))
	}
	d.changed = false
	clear(d.rebound)
}

func (a *Assembler) template(name Name) *Template {
	t, found := a.templates[name]
	if !found {
		return nil
	}
	return &t
}

// unbind takes out the routes of the workspaces that have changed.
func (s *Snapshot) unbind(name DeploymentName, d *assembled) {
	r, found := s.deployments[name]
	if !found {
		return
	}
	for workspace := range d.rebound {
		s.removeRoute(&r.deployment, workspace)
	}
}

// rebind puts the routes of the workspaces that have changed back in.
func (s *Snapshot) rebind(name DeploymentName, d *assembled, t *Template) {
	old := s.deployments[name]
	r := &resolved{deployment: *d.whole, servers: old.servers, versions: old.versions}
	s.deployments[name] = r
	for workspace := range d.rebound {
		if values, found := d.bindings[workspace]; found {
			s.addRoute(r, &Binding{workspace, values}, t)
		}
	}
}

func (d *assembled) assemble() *Deployment {
	whole := *d.core
	whole.BackendServers = slices.Sorted(maps.Keys(d.servers))
	whole.Workspaces = make([]Binding, 0, len(d.bindings))
	for workspace, values := range d.bindings {
		whole.Workspaces = append(whole.Workspaces, Binding{workspace, values})
	}
	slices.SortFunc(whole.Workspaces, compareBinding)
	return &whole
}

// rebind returns the deployment with the workspaces that have changed.
func (d *assembled) rebind() *Deployment {
	whole := *d.whole
	whole.Workspaces = slices.Clone(whole.Workspaces)
	for workspace := range d.rebound {
		i, found := slices.BinarySearchFunc(whole.Workspaces, Binding{Workspace: workspace}, compareBinding)
		values, bound := d.bindings[workspace]
		switch {
		case found && bound:
			whole.Workspaces[i].Values = values
		case found:
			whole.Workspaces = slices.Delete(whole.Workspaces, i, i+1)
		case bound:
			whole.Workspaces = slices.Insert(whole.Workspaces, i, Binding{workspace, values})
		}
	}
	return &whole
}

func compareBinding(a, b Binding) int { return cmp.Compare(a.Workspace, b.Workspace) }

// ordered returns d with its workspaces and backend servers in order, which
// is the form in which deployments are kept.
func (d Deployment) ordered() Deployment {
	d.BackendServers = slices.Sorted(slices.Values(d.BackendServers))
	d.Workspaces = slices.Clone(d.Workspaces)
	slices.SortFunc(d.Workspaces, compareBinding)
	return d
}
