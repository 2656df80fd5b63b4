// Package objects is an in-memory stand-in for the platform's object store. It serves
// infra.Objects over HTTP:
//
//	PUT    /v1/objects/{name}    creates an object; 409 if it exists with other content
//	GET    /v1/objects/{name}    returns its bytes, or 404
//	DELETE /v1/objects/{name}    removes it
//	GET    /v1/objects?prefix=P  returns httpinfra.ObjectNames, sorted
package objects

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/infra/httpinfra"
	"github.com/wigeonfork/wigeonfork/standin/loopback"
)

const maxObjectBytes = 64 << 20

// Faults are the faults that a Store injects.
type Faults struct {
	// Down answers every request with 503.
	Down bool
	// Delay is added to every request.
	Delay time.Duration
	// DropNextResponses applies the next n puts and deletes and closes their connections without a
	// response.
	DropNextResponses int
}

// Store is an in-memory object store.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
	faults  Faults
}

// New returns an empty Store without faults.
func New() *Store { return &Store{objects: make(map[string][]byte)} }

// Update changes the faults.
func (s *Store) Update(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// Handler returns the HTTP interface of s.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+httpinfra.PathObjects+"/{name}", s.servePut)
	mux.HandleFunc("GET "+httpinfra.PathObjects+"/{name}", s.serveGet)
	mux.HandleFunc("DELETE "+httpinfra.PathObjects+"/{name}", s.serveDelete)
	mux.HandleFunc("GET "+httpinfra.PathObjects, s.serveList)
	return s.withFaults(mux)
}

// Start serves s on addr, such as 127.0.0.1:0. The objects survive a kill of the server.
func (s *Store) Start(addr string) (*loopback.Server, error) {
	return loopback.Start(addr, s.Handler())
}

func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		s.mu.Unlock()
		if !loopback.Sleep(loopback.ServerContext(r.Context()), faults.Delay) {
			panic(http.ErrAbortHandler)
		}
		if faults.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.PathValue("name")
	if old, exists := s.objects[name]; exists && !bytes.Equal(old, data) {
		http.Error(w, "object exists", http.StatusConflict)
		return
	}
	s.objects[name] = data
	s.dropResponse()
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, exists := s.objects[r.PathValue("name")]
	s.mu.Unlock()
	if !exists {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// An error means that the client has disconnected.
	_, _ = w.Write(data)
}

func (s *Store) serveDelete(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, r.PathValue("name"))
	s.dropResponse()
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	answer := httpinfra.ObjectNames{Names: s.list(r.URL.Query().Get("prefix"))}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) list(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name := range s.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// dropResponse aborts the connection if DropNextResponses is not 0, and decrements it. s.mu is
// held.
func (s *Store) dropResponse() {
	if s.faults.DropNextResponses > 0 {
		s.faults.DropNextResponses--
		panic(http.ErrAbortHandler)
	}
}
