package template

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/revision"
)

// Prefixes and segments of the keys of revision.Items. A template is one item. A
// deployment is one item plus one for each workspace and backend server, so that
// a change of one workspace or server yields a small delta.
const (
	templatePrefix   = "t/"
	deploymentPrefix = "d/"
	workspaceSegment = "w"
	serverSegment    = "s"
)

// core returns d without the workspaces and backend servers, which are separate items.
func (d Deployment) core() Deployment {
	d.Workspaces = nil
	d.BackendServers = nil
	return d
}

// encodedItems maps item keys to encoded values.
type encodedItems map[string][]byte

func (e encodedItems) add(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", key)
	}
	e[key] = data
	return nil
}

func (e encodedItems) addTemplate(t *Template) error {
	if t == nil {
		return nil
	}
	return e.add(templatePrefix+string(t.Name), t)
}

func (e encodedItems) addDeployment(d *Deployment) error {
	if d == nil {
		return nil
	}
	key := deploymentPrefix + string(d.Name)
	if err := e.add(key, d.core()); err != nil {
		return err
	}
	for _, id := range d.BackendServers {
		e[key+"/"+serverSegment+"/"+string(id)] = nil
	}
	for i := range d.Workspaces {
		b := &d.Workspaces[i]
		path := key + "/" + workspaceSegment + "/" + string(b.Workspace)
		if len(b.Values) == 0 {
			e[path] = nil
			continue
		}
		if err := e.add(path, b.Values); err != nil {
			return err
		}
	}
	return nil
}

// Changes returns the items that differ between current and next, sorted by
// key. next must be the result of applying change to current.
func Changes(current, next *Config, change Change) ([]revision.Item, error) {
	old, err := current.encodeAffected(change)
	if err != nil {
		return nil, err
	}
	now, err := next.encodeAffected(change)
	if err != nil {
		return nil, err
	}
	var items []revision.Item
	for key, value := range now {
		oldValue, found := old[key]
		if !found || string(oldValue) != string(value) {
			items = append(items, revision.Item{Key: key, Value: value, Revision: next.Revision})
		}
	}
	for key := range old {
		if _, kept := now[key]; !kept {
			items = append(items, revision.Item{Key: key, Revision: next.Revision, Deleted: true})
		}
	}
	slices.SortFunc(items, func(a, b revision.Item) int { return strings.Compare(a.Key, b.Key) })
	return items, nil
}

// encodeAffected encodes the items of the templates and deployments of c that change
// puts or deletes.
func (c *Config) encodeAffected(change Change) (encodedItems, error) {
	e := make(encodedItems)
	templates, deployments := change.AffectedNames()
	for _, name := range templates {
		if err := e.addTemplate(c.Template(name)); err != nil {
			return nil, err
		}
	}
	for _, name := range deployments {
		if err := e.addDeployment(c.Deployment(name)); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// AffectedNames returns the names of the templates and deployments that c puts or
// deletes.
func (c *Change) AffectedNames() ([]Name, []DeploymentName) {
	templates := slices.Clone(c.DeleteTemplates)
	for i := range c.PutTemplates {
		templates = append(templates, c.PutTemplates[i].Name)
	}
	deployments := slices.Clone(c.DeleteDeployments)
	for i := range c.PutDeployments {
		deployments = append(deployments, c.PutDeployments[i].Name)
	}
	return templates, deployments
}

// ItemOwner returns the template or the deployment that the item with this key
// belongs to. Both are empty if the key is unknown.
func ItemOwner(key string) (Name, DeploymentName) {
	parts := strings.SplitN(key, "/", 3)
	if len(parts) < 2 {
		return "", ""
	}
	switch parts[0] + "/" {
	case templatePrefix:
		return Name(parts[1]), ""
	case deploymentPrefix:
		return "", DeploymentName(parts[1])
	default:
		return "", ""
	}
}

// deploymentItemKey is a parsed item key of a deployment. server and workspace
// are empty in the key of the deployment itself.
type deploymentItemKey struct {
	deployment DeploymentName
	server     wigeonfork.BackendServerID
	workspace  wigeonfork.Workspace
}

func parseDeploymentItemKey(key string) (deploymentItemKey, bool) {
	fields := strings.Split(strings.TrimPrefix(key, deploymentPrefix), "/")
	p := deploymentItemKey{deployment: DeploymentName(fields[0])}
	switch {
	case len(fields) == 1:
		return p, true
	case len(fields) == 3 && fields[1] == serverSegment:
		p.server = wigeonfork.BackendServerID(fields[2])
		return p, true
	case len(fields) == 3 && fields[1] == workspaceSegment:
		p.workspace = wigeonfork.Workspace(fields[2])
		return p, true
	default:
		return deploymentItemKey{}, false
	}
}
