// Package rowstore is a stand-in for the metadata store of the users' platform. Over HTTP it serves
// rows in tables, feeds of changes and conditional transactions.
package rowstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Row is one row in its wire format. Part distinguishes rows of a table that have the same key.
// Version is that of the store after the row's last change.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Fault is a fault that the store injects. It has one at a time.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	// FaultUnavailable answers 503 without executing the request.
	FaultUnavailable
	// FaultUnresponsive holds every request until the fault is replaced or the client disconnects.
	FaultUnresponsive
	// FaultReset closes the connection without executing the request.
	FaultReset
	// FaultDropResponse executes the request and closes the connection without a response.
	FaultDropResponse
)

type rowID struct{ table, part, key string }

// Store is an in-memory store. New creates one; the zero Store is not usable.
type Store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[rowID]Row
	history []Row
	// compactedVersion is the version up to which the history was dropped.
	compactedVersion uint64
	version          uint64
	// era counts the times that the store came back from an older copy, from 1. writes are all
	// writes of the current contents, from which older copies are made.
	era        uint64
	writes     []write
	restoredAt time.Time
	fault      Fault
	changed    chan struct{}
	calls      int
}

// New returns an empty store.
func New() *Store {
	return &Store{started: time.Now(), rows: make(map[rowID]Row), changed: make(chan struct{}), era: 1}
}

// SetFault replaces the store's fault.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notifyLocked()
}

// CompactHistory drops the history of changes. A feed that starts at a version before the current
// one gets 410.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedVersion = nil, s.version
	s.notifyLocked()
}

// Calls returns the number of requests received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row without conditions and with an empty part, as the operator or a registering
// server does.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.writeLocked(Row{Table: table, Key: key, Value: value, Version: s.version})
	s.notifyLocked()
}

// Delete removes a row with an empty part.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.writeLocked(Row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.notifyLocked()
}

// Rows returns the rows of a table, sorted by key.
func (s *Store) Rows(table string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tableLocked(table)
}

func (s *Store) tableLocked(table string) []Row {
	list := []Row{}
	for id, row := range s.rows {
		if id.table == table {
			list = append(list, row)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

func (s *Store) writeLocked(row Row) {
	id := rowID{row.Table, row.Part, row.Key}
	if row.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = row
	}
	s.history = append(s.history, row)
	s.writes = append(s.writes, write{row, time.Now()})
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the HTTP interface of s.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	mux.HandleFunc("POST /rows-tx", s.serveTransaction)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		s.mu.Unlock()
		if s.applyFault(w, r) {
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// applyFault injects the current fault. It returns whether the request must not be served.
func (s *Store) applyFault(w http.ResponseWriter, r *http.Request) bool {
	for {
		s.mu.Lock()
		fault, changed := s.fault, s.changed
		s.mu.Unlock()
		switch fault {
		case FaultUnavailable:
			w.Header().Set(eraHeader, strconv.FormatUint(s.Era(), 10))
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		case FaultReset:
			panic(http.ErrAbortHandler)
		case FaultUnresponsive:
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return true
			}
		}
		return false
	}
}

func (s *Store) writeResponse(w http.ResponseWriter, status int, rows []Row, at position) {
	s.mu.Lock()
	drop := s.fault == FaultDropResponse
	s.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(eraHeader, strconv.FormatUint(at.era, 10))
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": false, "ver": at.version, "now_ms": time.Since(s.started).Milliseconds(),
	})
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	rows, at := s.tableLocked(query.Get("table")), s.positionLocked()
	s.mu.Unlock()
	s.writeResponse(w, http.StatusOK, keyRange(rows, query.Get("from"), query.Get("to")), at)
}

// keyRange returns the rows with keys from from on and before to. An empty key sets no limit.
func keyRange(rows []Row, from, to string) []Row {
	return slices.DeleteFunc(rows, func(r Row) bool { return r.Key < from || to != "" && r.Key >= to })
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since_rev"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// A missing or malformed wait_ms means no wait.
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := wait == 0; ; {
		s.mu.Lock()
		missing := since < s.compactedVersion || since > s.version
		rows, at, changed := s.changesLocked(query.Get("table"), since), s.positionLocked(), s.changed
		s.mu.Unlock()
		switch {
		case missing:
			s.writeResponse(w, http.StatusGone, nil, at)
			return
		case len(rows) > 0 || expired:
			s.writeResponse(w, http.StatusOK, rows, at)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
		if s.applyFault(w, r) {
			return
		}
	}
}

func (s *Store) changesLocked(table string, since uint64) []Row {
	rows := []Row{}
	for _, row := range s.history {
		if row.Table == table && row.Version > since {
			rows = append(rows, row)
		}
	}
	return rows
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Conditions []Row `json:"expected_rev"`
		Writes     []Row `json:"set_keys"`
		Removals   []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, condition := range tx.Conditions {
		row := s.rows[rowID{condition.Table, condition.Part, condition.Key}]
		if row.Version != condition.Version {
			at := s.positionLocked()
			s.mu.Unlock()
			s.writeResponse(w, http.StatusPreconditionFailed, []Row{row}, at)
			return
		}
	}
	s.version++
	for _, row := range tx.Writes {
		row.Version = s.version
		s.writeLocked(row)
	}
	for _, row := range tx.Removals {
		row.Version, row.Deleted = s.version, true
		s.writeLocked(row)
	}
	at := s.positionLocked()
	s.notifyLocked()
	s.mu.Unlock()
	s.writeResponse(w, http.StatusOK, nil, at)
}
