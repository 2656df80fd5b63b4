package store

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/infra"
)

var errDown = errors.New("down")

// fakeTable is an in-memory table. beforeCall can fail any call before it takes
// effect. afterCommit can fail a Commit after it took effect.
type fakeTable struct {
	mutex       sync.Mutex
	revision    infra.Revision
	rows        map[string]infra.Row
	commits     map[string]infra.Commit
	beforeCall  func(operation string) error
	afterCommit func(operation string) error
	scans       int
}

func newFakeTable() *fakeTable {
	pass := func(string) error { return nil }
	return &fakeTable{rows: make(map[string]infra.Row), commits: make(map[string]infra.Commit), beforeCall: pass, afterCommit: pass}
}

func notDoneError(operation string) error {
	return infra.NewError(infra.OutcomeNotDone, operation, "table", errDown)
}

func unknownOutcomeError(operation string) error {
	return infra.NewError(infra.OutcomeUnknown, operation, "table", errDown)
}

func (f *fakeTable) Get(_ context.Context, key string) (infra.Row, error) {
	if err := f.beforeCall("get"); err != nil {
		return infra.Row{}, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.rows[key], nil
}

func (f *fakeTable) Scan(_ context.Context, q infra.ScanQuery) (infra.Page, error) {
	if err := f.beforeCall("scan"); err != nil {
		return infra.Page{}, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.scans++
	page := infra.Page{Revision: f.revision}
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		if !strings.HasPrefix(key, q.Prefix) || key < q.From {
			continue
		}
		if len(page.Rows) == q.Limit {
			page.Next = key
			break
		}
		page.Rows = append(page.Rows, f.rows[key])
	}
	return page, nil
}

func (f *fakeTable) Commit(_ context.Context, tx infra.Transaction) (infra.Commit, error) {
	if err := f.beforeCall(tx.OperationID); err != nil {
		return infra.Commit{}, err
	}
	commit := f.apply(tx)
	if err := f.afterCommit(tx.OperationID); err != nil {
		return infra.Commit{}, err
	}
	return commit, nil
}

func (f *fakeTable) apply(tx infra.Transaction) infra.Commit {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if commit, found := f.commits[tx.OperationID]; found {
		return commit
	}
	commit := infra.Commit{Applied: true}
	for _, c := range tx.Conditions {
		if f.rows[c.Key].Revision != c.Revision {
			commit.Applied = false
			commit.Conflicts = append(commit.Conflicts, infra.Row{Key: c.Key, Revision: f.rows[c.Key].Revision})
		}
	}
	if commit.Applied {
		f.revision++
		for _, w := range tx.Writes {
			if w.Delete {
				delete(f.rows, w.Key)
				continue
			}
			f.rows[w.Key] = infra.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
		}
	}
	commit.Revision = f.revision
	f.commits[tx.OperationID] = commit
	return commit
}

// fakeObjects is an in-memory object store. It refuses to overwrite an object.
type fakeObjects struct {
	mutex sync.Mutex
	data  map[string][]byte
	fail  func(operation, name string) error
}

func newFakeObjects() *fakeObjects {
	return &fakeObjects{data: make(map[string][]byte), fail: func(_, _ string) error { return nil }}
}

func (f *fakeObjects) Put(_ context.Context, name string, data []byte) error {
	if err := f.fail("put", name); err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, found := f.data[name]; found {
		return errors.New("exists")
	}
	f.data[name] = slices.Clone(data)
	return nil
}

func (f *fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	data, found := f.data[name]
	if !found {
		return nil, infra.NewError(infra.OutcomeNotDone, "get", "objects", infra.ErrNotFound)
	}
	return data, nil
}

func (f *fakeObjects) List(_ context.Context, prefix string) ([]string, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	names := slices.Sorted(maps.Keys(f.data))
	return slices.DeleteFunc(names, func(name string) bool { return !strings.HasPrefix(name, prefix) }), nil
}

func (f *fakeObjects) Delete(_ context.Context, name string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.data, name)
	return nil
}
