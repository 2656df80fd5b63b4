package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the store as it is sent. Value is base64 in JSON.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's metadata store. It is linearizable, keeps all history
// and loses nothing.
type store struct {
	began  time.Time
	server *http.Server
	addr   string

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     uint64
	changed chan struct{}
}

// startStore starts a store on a free loopback port.
func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), addr: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	mux.HandleFunc("GET /rows-parts", s.serveParts)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(listener)
	return s, nil
}

// put writes a row as the operator or a runner does, and returns once it is acknowledged.
func (s *store) put(table, key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.setLocked(row{Table: table, Key: key, Value: data, Ver: s.ver})
	s.notifyLocked()
	return s.ver
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.setLocked(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
	s.notifyLocked()
}

func (s *store) setLocked(r row) {
	key := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) stampLocked() map[string]any {
	return map[string]any{"ver": s.ver, "now_ms": time.Since(s.began).Milliseconds()}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected_rev"`
		Set      []row `json:"set_keys"`
		Remove   []row `json:"remove"`
	}
	data, _ := io.ReadAll(r.Body)
	if err := json.Unmarshal(data, &tx); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, wanted := range tx.Expected {
		if s.rows[rowKey{wanted.Table, wanted.Part, wanted.Key}].Ver != wanted.Ver {
			reply(w, http.StatusPreconditionFailed, s.stampLocked())
			return
		}
	}
	for _, list := range [][]row{tx.Set, tx.Remove} {
		for _, change := range list {
			if change.Table == "op" || change.Table == "servers" {
				reply(w, http.StatusForbidden, map[string]any{})
				return
			}
		}
	}
	s.ver++
	for _, change := range tx.Set {
		change.Ver = s.ver
		s.setLocked(change)
	}
	for _, change := range tx.Remove {
		change.Ver, change.Deleted = s.ver, true
		s.setLocked(change)
	}
	s.notifyLocked()
	reply(w, http.StatusOK, s.stampLocked())
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for key, row := range s.rows {
		if key.table == q.Get("table") && key.part == q.Get("part") && key.key >= q.Get("from") && (q.Get("to") == "" || key.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	answer := s.stampLocked()
	answer["has_more"] = len(rows) > limit
	rows = rows[:min(limit, len(rows))]
	if rows == nil {
		rows = []row{}
	}
	answer["rows"] = rows
	reply(w, http.StatusOK, answer)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		rows := []row{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Ver > since; i-- {
			if s.history[i].Table == q.Get("table") {
				rows = append([]row{s.history[i]}, rows...)
			}
		}
		answer := s.stampLocked()
		changed := s.changed
		s.mu.Unlock()
		answer["rows"], answer["has_more"] = rows, false
		if len(rows) > 0 || wait <= 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.stampLocked()
	answer["parts"], answer["has_more"] = []string{""}, false
	reply(w, http.StatusOK, answer)
}
