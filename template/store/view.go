package store

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/revision"
	"github.com/wigeonfork/wigeonfork/template"
)

// Limits on how many accepted operations and deleted items a view retains.
const (
	maxRetainedOperations = 4096
	maxRetainedDeletions  = 4096
)

// view is the state at one revision. It is not modified after it is shared. Items
// that were deleted at revision floor or before may be missing.
type view struct {
	revision   wigeonfork.Revision
	floor      wigeonfork.Revision
	items      map[string]revision.Item
	operations []operation
}

func emptyView() *view { return &view{items: make(map[string]revision.Item)} }

func viewFromSnapshot(s *snapshotObject) *view {
	v := emptyView()
	v.revision = s.Revision
	v.floor = s.Floor
	v.operations = s.Operations
	for _, item := range s.Items {
		v.items[item.Key] = item
	}
	return v
}

// withEntries returns the state after entries. They must follow v without a gap.
func (v *view) withEntries(entries []LogEntry) (*view, error) {
	if len(entries) == 0 {
		return v, nil
	}
	next := &view{
		revision:   v.revision,
		floor:      v.floor,
		items:      maps.Clone(v.items),
		operations: slices.Clone(v.operations),
	}
	for i := range entries {
		e := &entries[i]
		if e.Revision != next.revision+1 {
			return nil, errors.Newf("gap in the log: entry %d follows revision %d", e.Revision, next.revision)
		}
		for _, item := range e.Items {
			next.items[item.Key] = item
		}
		next.operations = append(next.operations, operation{e.OperationID, e.Digest, e.Revision})
		next.revision = e.Revision
	}
	next.trimRetained()
	return next, nil
}

func (v *view) trimRetained() {
	v.operations = v.operations[max(0, len(v.operations)-maxRetainedOperations):]
	var deleted []revision.Item
	for _, item := range v.items {
		if item.Deleted {
			deleted = append(deleted, item)
		}
	}
	slices.SortFunc(deleted, func(a, b revision.Item) int { return int(a.Revision) - int(b.Revision) })
	for _, item := range deleted[:max(0, len(deleted)-maxRetainedDeletions)] {
		v.floor = max(v.floor, item.Revision)
		delete(v.items, item.Key)
	}
}

// findOperation returns the accepted operation with the ID.
func (v *view) findOperation(id string) (operation, bool) {
	for i := len(v.operations) - 1; i >= 0; i-- {
		if v.operations[i].ID == id {
			return v.operations[i], true
		}
	}
	return operation{}, false
}

// delta returns the changes after revision from. It returns the complete state if from is below
// the floor or above the revision of v.
func (v *view) delta(from wigeonfork.Revision) revision.Delta {
	if from < v.floor || from > v.revision {
		from = 0
	}
	d := revision.Delta{From: from, To: v.revision}
	if from == 0 {
		d.Floor = v.floor
	}
	for _, item := range v.items {
		if item.Revision > from {
			d.Items = append(d.Items, item)
		}
	}
	slices.SortFunc(d.Items, func(a, b revision.Item) int { return strings.Compare(a.Key, b.Key) })
	return d
}

func (v *view) snapshot() snapshotObject {
	d := v.delta(0)
	return snapshotObject{Revision: v.revision, Floor: v.floor, Items: d.Items, Operations: v.operations}
}

// config builds the configuration from the items.
func (v *view) config() (template.Config, error) {
	a := template.NewAssembler()
	if err := a.Install(v.delta(0)); err != nil {
		return template.Config{}, err
	}
	return a.Config(), nil
}

// lastChangeRevision returns the highest revision at which a template or
// deployment that change puts or deletes was changed.
func (v *view) lastChangeRevision(change *template.Change) wigeonfork.Revision {
	templates, deployments := change.AffectedNames()
	var last wigeonfork.Revision
	for key, item := range v.items {
		t, d := template.ItemOwner(key)
		if slices.Contains(templates, t) || slices.Contains(deployments, d) {
			last = max(last, item.Revision)
		}
	}
	return last
}
