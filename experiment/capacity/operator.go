package capacity

import (
	"context"
	"fmt"

	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/standin/table"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/template/store"
)

// Names of the costs of a configuration change by an operator.
const (
	costChangeReads  = "reads of the table by a change"
	costColdReads    = "reads of the table by a process's first change"
	costChangeWrites = "writes of the table by a change"
	costObjectWrites = "objects written by a change"
	costObjectBytes  = "bytes of objects written by a change"
	costChangeMicros = "check and accept a change"
)

// objects is an in-memory object store.
type objects map[string][]byte

// Put implements infra.Objects.
func (o objects) Put(_ context.Context, name string, data []byte) error {
	o[name] = data
	return nil
}

// Get implements infra.Objects.
func (o objects) Get(_ context.Context, name string) ([]byte, error) {
	data, ok := o[name]
	if !ok {
		return nil, infra.ErrNotFound
	}
	return data, nil
}

// List implements infra.Objects.
func (o objects) List(context.Context, string) ([]string, error) { return nil, nil }

// Delete implements infra.Objects.
func (o objects) Delete(_ context.Context, name string) error {
	delete(o, name)
	return nil
}

// bytes returns the total size of all objects.
func (o objects) bytes() int {
	total := 0
	for _, data := range o {
		total += len(data)
	}
	return total
}

// configurationStore is a store that contains a configuration.
type configurationStore struct {
	table      *table.Table
	objects    objects
	store      *store.Store
	changes    int
	workspaces int
}

func newConfigurationStore(workspaces int) (*configurationStore, error) {
	a := &configurationStore{table: table.New(), objects: objects{}, workspaces: workspaces}
	a.store = a.openStore()
	initial := config(workspaces, serversPerModel)
	change := template.Change{PutTemplates: initial.Templates, PutDeployments: initial.Deployments}
	_, err := a.store.Accept(context.Background(), store.Request{OperationID: "first", Author: "operator", Now: startTime, Change: change})
	return a, err
}

// openStore returns a store with an empty cache, as in a new process.
func (a *configurationStore) openStore() *store.Store {
	return store.New(a.table, a.objects, store.Options{})
}

// change makes s accept a change of one workspace of a deployment.
func (a *configurationStore) change(s *store.Store) error {
	a.changes++
	next := deployment(3, a.workspaces, serversPerModel)
	next.Workspaces[0].Values = template.Values{"max_tokens": template.Number(float64(1 + a.changes%4000))}
	_, err := s.Accept(context.Background(), store.Request{
		OperationID: fmt.Sprint(a.changes), Author: "operator", Now: startTime,
		Change: template.Change{PutDeployments: []template.Deployment{next}},
	})
	return err
}

// tableAccesses returns the mean number of table reads and writes per change.
func (a *configurationStore) tableAccesses(s *store.Store, changes int) (reads, writes float64, err error) {
	before := a.table.Counters()
	for range changes {
		if err := a.change(s); err != nil {
			return 0, 0, err
		}
	}
	after := a.table.Counters()
	n := float64(changes)
	return float64(after.Reads-before.Reads) / n, float64(after.Writes-before.Writes) / n, nil
}

func measureOperator(c *costs) {
	sizes := []int{33, 330, designWorkspaces}
	const changes = 10
	add := func(name, unit string, cost func(a *configurationStore) (float64, error)) {
		s := series{role: roleOperator, name: name, unit: unit, sizeUnit: "workspaces", designSize: designWorkspaces}
		c.add(s, sizes, func(workspaces int) (float64, error) {
			a, err := newConfigurationStore(workspaces)
			if err != nil {
				return 0, err
			}
			return cost(a)
		})
	}
	add(costChangeReads, "reads", func(a *configurationStore) (float64, error) {
		reads, _, err := a.tableAccesses(a.store, changes)
		return reads, err
	})
	add(costColdReads, "reads", func(a *configurationStore) (float64, error) {
		if _, _, err := a.tableAccesses(a.store, changes); err != nil {
			return 0, err
		}
		reads, _, err := a.tableAccesses(a.openStore(), 1)
		return reads, err
	})
	add(costChangeWrites, "writes", func(a *configurationStore) (float64, error) {
		_, writes, err := a.tableAccesses(a.store, changes)
		return writes, err
	})
	add(costObjectWrites, "objects", func(a *configurationStore) (float64, error) {
		before := len(a.objects)
		_, _, err := a.tableAccesses(a.store, changes)
		return float64(len(a.objects)-before) / changes, err
	})
	add(costObjectBytes, "bytes", func(a *configurationStore) (float64, error) {
		before := a.objects.bytes()
		_, _, err := a.tableAccesses(a.store, changes)
		return float64(a.objects.bytes()-before) / changes, err
	})
	add(costChangeMicros, "us", func(a *configurationStore) (float64, error) {
		var failed error
		micros, err := c.meter.micros(func(n int) {
			for range n {
				if err := a.change(a.store); err != nil {
					failed = err
				}
			}
		})
		if failed != nil {
			return 0, failed
		}
		return micros, err
	})
}
