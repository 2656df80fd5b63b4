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
}

// assembled is a deployment in parts. whole is nil after a change.
type assembled struct {
	core     *Deployment
	servers  map[wigeonfork.BackendServerID]struct{}
	bindings map[wigeonfork.Workspace]Values
	whole    *Deployment
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
	d.whole = nil
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
	c := Config{Revision: a.revision}
	for _, name := range slices.Sorted(maps.Keys(a.templates)) {
		c.Templates = append(c.Templates, a.templates[name])
	}
	for _, name := range slices.Sorted(maps.Keys(a.deployments)) {
		d := a.deployments[name]
		if d.core == nil {
			continue
		}
		if d.whole == nil {
			d.whole = d.assemble()
		}
		c.Deployments = append(c.Deployments, *d.whole)
	}
	return c
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

func compareBinding(a, b Binding) int { return cmp.Compare(a.Workspace, b.Workspace) }

// ordered returns d with its workspaces and backend servers in order, which
// is the form in which deployments are kept.
func (d Deployment) ordered() Deployment {
	d.BackendServers = slices.Sorted(slices.Values(d.BackendServers))
	d.Workspaces = slices.Clone(d.Workspaces)
	slices.SortFunc(d.Workspaces, compareBinding)
	return d
}
