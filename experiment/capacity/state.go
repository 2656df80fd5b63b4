package capacity

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/revision"
	"github.com/wigeonfork/wigeonfork/template"
)

// Names of the costs of the accepted configuration.
const (
	costNodeMemory    = "configuration as items, memory"
	costSnapshot      = "configuration resolved, memory"
	costStateBytes    = "whole configuration, encoded"
	costResolve       = "resolve a request"
	costInstall       = "install a change"
	costInstallShared = "install a change, unchanged parts shared"
)

var workspaceSizes = []int{330, 1_100, 3_300}

// serversPerModel is the number of backend servers of a model.
const serversPerModel = designAgents / designModels

// config returns a configuration in which every workspace uses every model.
func config(workspaces, servers int) template.Config {
	minTokens, maxTokens := 1.0, 8192.0
	defaultTokens := template.Number(256)
	letters := template.Template{Name: "letters", Parameters: []template.Parameter{
		{Name: "max_tokens", Type: template.TypeInteger, Default: &defaultTokens, Minimum: &minTokens, Maximum: &maxTokens},
	}}
	change := template.Change{PutTemplates: []template.Template{letters}}
	for m := range designModels {
		change.PutDeployments = append(change.PutDeployments, deployment(m, workspaces, servers))
	}
	var empty template.Config
	return empty.Apply(change)
}

func deployment(model, workspaces, servers int) template.Deployment {
	d := template.Deployment{
		Name: template.DeploymentName(modelOf(model)), Template: "letters", Model: modelOf(model),
		Versions: []template.VersionShare{{Version: "v1", Share: template.FullShare}},
	}
	for i := range workspaces {
		values := template.Values{"max_tokens": template.Number(float64(i%4000 + 1))}
		d.Workspaces = append(d.Workspaces, template.Binding{Workspace: workspaceID(i), Values: values})
	}
	for i := range servers {
		d.BackendServers = append(d.BackendServers, serverID(model+i*designModels))
	}
	return d
}

func configurationDelta(workspaces int) (revision.Delta, error) {
	var empty template.Config
	next := config(workspaces, serversPerModel)
	list, err := template.Changes(&empty, &next, template.Change{PutTemplates: next.Templates, PutDeployments: next.Deployments})
	for i := range list {
		list[i].Revision = 1
	}
	return revision.Delta{To: 1, Items: list}, err
}

func measureState(c *costs) {
	measureSnapshot(c)
	measureInstall(c)
	s := series{role: roleAll, name: costStateBytes, unit: "bytes", sizeUnit: "workspaces", designSize: designWorkspaces}
	c.add(s, workspaceSizes, func(workspaces int) (float64, error) {
		delta, err := configurationDelta(workspaces)
		if err != nil {
			return 0, err
		}
		data, err := revision.Encode(revision.Message{Kind: revision.KindState, Revision: 1, Delta: &delta})
		return float64(len(data)), err
	})
	s = series{role: roleAll, name: costNodeMemory, unit: "bytes", sizeUnit: "workspaces", designSize: designWorkspaces}
	c.add(s, workspaceSizes, func(workspaces int) (float64, error) {
		var failed error
		bytes := heapBytes(func() any {
			node := revision.New(revision.Options{ID: "h", Seed: 1})
			node.Tick(startTime)
			delta, err := configurationDelta(workspaces)
			if err != nil {
				failed = err
			}
			node.CompleteTableRead(startTime, delta, nil)
			return node
		})
		return bytes, failed
	})
}

func measureSnapshot(c *costs) {
	s := series{role: roleAll, name: costSnapshot, unit: "bytes", sizeUnit: "workspaces", designSize: designWorkspaces}
	c.add(s, workspaceSizes, func(workspaces int) (float64, error) {
		var failed error
		bytes := heapBytes(func() any {
			k, err := newInstalledConfig(workspaces)
			failed = errors.CombineErrors(failed, err)
			return k
		})
		return bytes, failed
	})
	s = series{role: roleEntry, name: costResolve, unit: "us", sizeUnit: "workspaces", designSize: designWorkspaces}
	c.add(s, workspaceSizes, func(workspaces int) (float64, error) {
		snapshot := template.NewSnapshot(config(workspaces, serversPerModel), nil)
		return c.meter.micros(func(n int) {
			for i := range n {
				route, _ := snapshot.Resolve(workspaceID(17), "model-03")
				route.PickVersion(uint64(i))
			}
		})
	})
}

// installedConfig is the state that a keeper derives from configuration items.
type installedConfig struct {
	assembler *template.Assembler
	snapshot  *template.Snapshot
	revision  wigeonfork.Revision
}

func newInstalledConfig(workspaces int) (*installedConfig, error) {
	delta, err := configurationDelta(workspaces)
	if err != nil {
		return nil, err
	}
	k := &installedConfig{assembler: template.NewAssembler(), revision: 1}
	if err := k.assembler.Install(delta); err != nil {
		return nil, err
	}
	k.rebuildSnapshot()
	return k, nil
}

// rebuildSnapshot builds a snapshot from the complete configuration.
func (k *installedConfig) rebuildSnapshot() {
	k.snapshot = template.NewSnapshot(k.assembler.Config(), nil)
}

// updateSnapshot makes a snapshot that shares unchanged routes with the previous
// one, as configuration.Keeper does.
func (k *installedConfig) updateSnapshot() { k.snapshot = k.assembler.Snapshot() }

// change installs a change of one workspace and publishes the result.
func (k *installedConfig) change(publish func()) error {
	k.revision++
	value := fmt.Appendf(nil, `{"max_tokens":%d}`, 1+k.revision%4000)
	item := revision.Item{Key: "d/model-03/w/workspace-0017", Value: value, Revision: k.revision}
	delta := revision.Delta{From: k.revision - 1, To: k.revision, Items: []revision.Item{item}}
	if err := k.assembler.Install(delta); err != nil {
		return err
	}
	publish()
	return nil
}

func measureInstall(c *costs) {
	measureInstallBy(c, costInstall, (*installedConfig).rebuildSnapshot)
	measureInstallBy(c, costInstallShared, (*installedConfig).updateSnapshot)
}

func measureInstallBy(c *costs, name string, publish func(*installedConfig)) {
	s := series{role: roleAll, name: name, unit: "us", sizeUnit: "workspaces", designSize: designWorkspaces}
	c.add(s, workspaceSizes, func(workspaces int) (float64, error) {
		k, err := newInstalledConfig(workspaces)
		if err != nil {
			return 0, err
		}
		var failed error
		micros, err := c.meter.micros(func(n int) {
			for range n {
				failed = errors.CombineErrors(failed, k.change(func() { publish(k) }))
			}
		})
		return micros, errors.CombineErrors(failed, err)
	})
}
