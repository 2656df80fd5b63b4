package store

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/revision"
)

// Difference is a field that differs between two states. Old and New are JSON.
// Old is empty if the field was added, New if it was removed.
type Difference struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String formats d for operators.
func (d *Difference) String() string {
	switch {
	case d.Old == "" && d.New == "":
		return d.Field
	case d.Old == "":
		return fmt.Sprintf("%s = %s", d.Field, d.New)
	case d.New == "":
		return fmt.Sprintf("%s removed, was %s", d.Field, d.Old)
	default:
		return fmt.Sprintf("%s = %s, was %s", d.Field, d.New, d.Old)
	}
}

// History returns up to limit accepted changes, newest first. It starts at
// revision before, or at the head if before is 0.
func (s *Store) History(ctx context.Context, before wigeonfork.Revision, limit int) ([]LogEntry, error) {
	entries, err := s.scanLog(ctx, 0)
	if err != nil {
		return nil, err
	}
	if before == 0 && len(entries) > 0 {
		before = entries[len(entries)-1].Revision
	}
	var list []LogEntry
	segments, listed := []string(nil), false
	for {
		for i := len(entries) - 1; i >= 0 && len(list) < limit; i-- {
			if entries[i].Revision <= before {
				list = append(list, entries[i])
				before = entries[i].Revision - 1
			}
		}
		if len(list) >= limit || before == 0 {
			break
		}
		if !listed {
			if segments, err = s.objects.List(ctx, historyPrefix); err != nil {
				return nil, err
			}
			slices.Sort(segments)
			listed = true
		}
		if len(segments) == 0 {
			break
		}
		last := segments[len(segments)-1]
		segments = segments[:len(segments)-1]
		if entries, err = s.readSegment(ctx, last); err != nil {
			return nil, err
		}
	}
	return list, s.fetchItems(ctx, list)
}

func (s *Store) readSegment(ctx context.Context, name string) ([]LogEntry, error) {
	data, err := s.objects.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	return decode[[]LogEntry](name, data)
}

// stateAt returns the state at revision r.
func (s *Store) stateAt(ctx context.Context, r wigeonfork.Revision) (*view, error) {
	v, err := s.latestSnapshot(ctx, r)
	if err != nil {
		return nil, err
	}
	if r == v.revision {
		return v, nil
	}
	entries, err := s.History(ctx, r, int(r-v.revision))
	if err != nil {
		return nil, err
	}
	slices.Reverse(entries)
	next, err := v.withEntries(entries)
	if err != nil {
		return nil, err
	}
	if next.revision != r {
		return nil, errors.Wrapf(infra.ErrNotFound, "revision %d", r)
	}
	return next, nil
}

// latestSnapshot returns the newest stored state at or before revision r, or the
// empty state if there is none.
func (s *Store) latestSnapshot(ctx context.Context, r wigeonfork.Revision) (*view, error) {
	names, err := s.objects.List(ctx, snapshotPrefix)
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	limit := objectName(snapshotPrefix, r+1, "")
	i, _ := slices.BinarySearch(names, limit)
	if i == 0 {
		return emptyView(), nil
	}
	return s.readSnapshot(ctx, names[i-1])
}

func objectName(prefix string, r wigeonfork.Revision, suffix string) string {
	return fmt.Sprintf("%s%020d%s", prefix, r, suffix)
}

// Diff returns the differences between two revisions, sorted by item key.
func (s *Store) Diff(ctx context.Context, from, to wigeonfork.Revision) ([]Difference, error) {
	old, err := s.stateAt(ctx, from)
	if err != nil {
		return nil, err
	}
	now, err := s.stateAt(ctx, to)
	if err != nil {
		return nil, err
	}
	var list []Difference
	for _, key := range slices.Sorted(maps.Keys(unionKeys(old.items, now.items))) {
		list = append(list, differences(key, liveItem(old, key), liveItem(now, key))...)
	}
	return list, nil
}

func unionKeys(a, b map[string]revision.Item) map[string]struct{} {
	keys := make(map[string]struct{}, len(a))
	for key := range a {
		keys[key] = struct{}{}
	}
	for key := range b {
		keys[key] = struct{}{}
	}
	return keys
}

// liveItem returns the item at key, or nil if there is none or it is deleted.
func liveItem(v *view, key string) *revision.Item {
	item, found := v.items[key]
	if !found || item.Deleted {
		return nil
	}
	return &item
}

// entryDifferences returns the fields that a log entry set, without their old values.
func entryDifferences(e *LogEntry) []Difference {
	var list []Difference
	for i := range e.Items {
		item := &e.Items[i]
		if item.Deleted {
			list = append(list, Difference{Field: displayName(item.Key) + " removed"})
			continue
		}
		list = append(list, differences(item.Key, nil, item)...)
	}
	return list
}

// differences compares two versions of an item field by field. nil stands for no item.
func differences(key string, old, now *revision.Item) []Difference {
	if old == nil && now == nil {
		return nil
	}
	before, after := topLevelFields(old), topLevelFields(now)
	name := displayName(key)
	if len(before) == 0 && len(after) == 0 {
		if (old == nil) == (now == nil) {
			return nil
		}
		return []Difference{presenceDifference(name, now != nil)}
	}
	var list []Difference
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, field := range slices.Sorted(maps.Keys(names)) {
		if before[field] != after[field] {
			list = append(list, Difference{Field: name + "." + field, Old: before[field], New: after[field]})
		}
	}
	return list
}

func presenceDifference(name string, added bool) Difference {
	if added {
		return Difference{Field: name, New: "true"}
	}
	return Difference{Field: name, Old: "true"}
}

// topLevelFields returns the top-level fields of an item's JSON.
func topLevelFields(item *revision.Item) map[string]string {
	if item == nil || len(item.Value) == 0 {
		return map[string]string{}
	}
	var raw map[string]json.RawMessage
	if json.Unmarshal(item.Value, &raw) != nil {
		return map[string]string{"value": string(item.Value)}
	}
	texts := make(map[string]string, len(raw))
	for name, value := range raw {
		texts[name] = string(value)
	}
	return texts
}

// displayName returns the name of an item for operators.
func displayName(key string) string {
	parts := strings.Split(key, "/")
	switch {
	case len(parts) == 2 && parts[0] == "t":
		return "templates." + parts[1]
	case len(parts) == 2:
		return "deployments." + parts[1]
	case len(parts) == 4 && parts[2] == "w":
		return "deployments." + parts[1] + ".workspaces." + parts[3]
	case len(parts) == 4:
		return "deployments." + parts[1] + ".backend_servers." + parts[3]
	default:
		return key
	}
}
