package rowstore

import "time"

// eraHeader is the header of all answers that holds the store's era.
const eraHeader = "Store-Era"

// write is one write of a row and its time.
type write struct {
	row Row
	at  time.Time
}

// position is the state of the store that an answer shows.
type position struct{ era, version uint64 }

func (s *Store) positionLocked() position { return position{s.era, s.version} }

// Era returns the number of times that the store came back from an older copy, plus 1.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Version returns the version of the last transaction.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Restore replaces the contents by a copy of the given age. Later writes are lost, and the versions
// of the store go back and are given out again. A feed that starts at a version that the copy does
// not have gets 410.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := time.Now().Add(-age)
	writes := s.writes
	s.rows, s.history, s.writes, s.version = make(map[rowID]Row), nil, nil, 0
	for _, w := range writes {
		if w.at.After(taken) {
			break
		}
		s.version = w.row.Version
		s.replayLocked(w)
	}
	s.compactedVersion = min(s.compactedVersion, s.version)
	s.era++
	s.restoredAt = time.Now()
	s.notifyLocked()
}

func (s *Store) replayLocked(w write) {
	id := rowID{w.row.Table, w.row.Part, w.row.Key}
	if w.row.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = w.row
	}
	s.writes = append(s.writes, w)
	if w.row.Version > s.compactedVersion {
		s.history = append(s.history, w.row)
	}
}

// WritesSinceRestore returns the number of writes to a table since the last restore.
func (s *Store) WritesSinceRestore(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, w := range s.writes {
		if w.row.Table == table && w.at.After(s.restoredAt) {
			n++
		}
	}
	return n
}
