package store

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/revision"
)

// scanLimit is the number of rows per scan request.
const scanLimit = 256

// cache holds the newest known state.
type cache struct {
	mutex sync.Mutex
	last  *view
}

func (c *cache) get() *view {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.last
}

func (c *cache) put(v *view) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if v.revision > c.last.revision {
		c.last = v
	}
}

// Since returns the changes after revision from. It returns the complete state
// if not all deletions since from are retained. A revision.Node reads the table
// through it. It usually takes one scan of the table.
func (s *Store) Since(ctx context.Context, from wigeonfork.Revision) (revision.Delta, error) {
	v, err := s.load(ctx)
	if err != nil {
		return revision.Delta{}, err
	}
	if v.revision < from {
		return revision.Delta{From: from, To: from}, nil
	}
	return v.delta(from), nil
}

// load updates the cached state to the end of the log and returns it.
func (s *Store) load(ctx context.Context) (*view, error) {
	for range s.options.Attempts {
		v, err := s.loadOnce(ctx)
		if !errors.Is(err, errHeadChanged) {
			return v, err
		}
	}
	return nil, errHeadChanged
}

func (s *Store) loadOnce(ctx context.Context) (*view, error) {
	v := s.cache.get()
	entries, err := s.scanLog(ctx, v.revision)
	if err != nil {
		return nil, err
	}
	if len(entries) > 0 && entries[0].Revision == v.revision {
		entries = entries[1:]
	} else if len(entries) > 0 && entries[0].Revision != v.revision+1 {
		v, err = s.loadSnapshot(ctx)
		if err != nil {
			return nil, err
		}
		entries = slices.DeleteFunc(entries, func(e LogEntry) bool { return e.Revision <= v.revision })
		if len(entries) > 0 && entries[0].Revision != v.revision+1 {
			return nil, errHeadChanged
		}
	}
	if err := s.fetchItems(ctx, entries); err != nil {
		return nil, err
	}
	next, err := v.withEntries(entries)
	if err != nil {
		return nil, err
	}
	s.cache.put(next)
	return next, nil
}

// scanLog returns the log entries from revision from on, without a gap. Entries are
// only appended, so consecutive pages are consistent unless Compact deletes rows
// between them. The log is then scanned again.
func (s *Store) scanLog(ctx context.Context, from wigeonfork.Revision) ([]LogEntry, error) {
	for range s.options.Attempts {
		entries, err := s.scanLogOnce(ctx, from)
		if !errors.Is(err, errHeadChanged) {
			return entries, err
		}
	}
	return nil, errHeadChanged
}

// scanLogOnce is scanLog without a second scan. It returns errHeadChanged if it finds
// a gap.
func (s *Store) scanLogOnce(ctx context.Context, from wigeonfork.Revision) ([]LogEntry, error) {
	query := infra.ScanQuery{Prefix: logPrefix, From: logKey(from), Limit: scanLimit}
	var entries []LogEntry
	for {
		page, err := s.table.Scan(ctx, query)
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			entry, err := decode[LogEntry](row.Key, row.Value)
			if err != nil {
				return nil, err
			}
			if n := len(entries); n > 0 && entry.Revision != entries[n-1].Revision+1 {
				return nil, errHeadChanged
			}
			entries = append(entries, entry)
		}
		if page.Next == "" {
			return entries, nil
		}
		query.From = page.Next
	}
}

func (s *Store) loadSnapshot(ctx context.Context) (*view, error) {
	row, err := s.table.Get(ctx, snapshotKey)
	if err != nil {
		return nil, err
	}
	if row.Revision == 0 {
		return nil, errors.New("the log does not reach back to the cached revision and there is no snapshot")
	}
	pointer, err := decode[snapshotRow](snapshotKey, row.Value)
	if err != nil {
		return nil, err
	}
	return s.readSnapshot(ctx, pointer.Object)
}

func (s *Store) readSnapshot(ctx context.Context, name string) (*view, error) {
	data, err := s.objects.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	state, err := decode[snapshotObject](name, data)
	if err != nil {
		return nil, err
	}
	return viewFromSnapshot(&state), nil
}

// fetchItems reads the items of those entries whose items are in the object store.
func (s *Store) fetchItems(ctx context.Context, entries []LogEntry) error {
	for i := range entries {
		e := &entries[i]
		if e.Object == "" || len(e.Items) > 0 {
			continue
		}
		data, err := s.objects.Get(ctx, e.Object)
		if err != nil {
			return err
		}
		if e.Items, err = decode[[]revision.Item](e.Object, data); err != nil {
			return err
		}
	}
	return nil
}

// loadHead returns the state at the head and the table's revision of the row
// config/head. A change is conditional on that revision.
func (s *Store) loadHead(ctx context.Context) (*view, infra.Revision, error) {
	for range s.options.Attempts {
		row, err := s.table.Get(ctx, headKey)
		if err != nil {
			return nil, 0, err
		}
		var head headRow
		if row.Revision > 0 {
			if head, err = decode[headRow](headKey, row.Value); err != nil {
				return nil, 0, err
			}
		}
		v, err := s.load(ctx)
		if err != nil {
			return nil, 0, err
		}
		if v.revision == head.Revision {
			return v, row.Revision, nil
		}
	}
	return nil, 0, errHeadChanged
}
