// Package hosts is a stand-in for the platform's list of live and leaving hosts, which lags behind
// the hosts' actual state. GET /v1/hosts returns an httpinfra.HostsAnswer.
package hosts

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/infra/httpinfra"
	"github.com/wigeonfork/wigeonfork/standin/loopback"
)

// ErrDown is the cause of all errors while the list is down.
var ErrDown = errors.New("host list is down")

// snapshot is the list as of one time.
type snapshot struct {
	hosts []infra.Host
	at    time.Time
}

// List is the host list. It shows a change only after its lag.
type List struct {
	mu        sync.Mutex
	lag       time.Duration
	down      bool
	snapshots []snapshot
}

var _ infra.HostList = (*List)(nil)

// New returns an empty List that shows each change after lag.
func New(lag time.Duration) *List { return &List{lag: lag, snapshots: []snapshot{{}}} }

// Set replaces all hosts of the list.
func (l *List) Set(hosts []infra.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(append([]infra.Host(nil), hosts...))
}

// Put adds host, or replaces the host with the same id.
func (l *List) Put(host infra.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(append(l.without(host.ID), host))
}

// Remove removes a host from the list.
func (l *List) Remove(id wigeonfork.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(l.without(id))
}

// SetLag changes the lag.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown makes every call of Hosts fail until it is called with false.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Hosts implements infra.HostList. It returns the list as of the returned time, which is the lag
// before now.
func (l *List) Hosts(context.Context) ([]infra.Host, time.Time, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, time.Time{}, infra.NewError(infra.OutcomeNotDone, "hosts", "host list", ErrDown)
	}
	asOf := time.Now().Add(-l.lag)
	for len(l.snapshots) > 1 && !l.snapshots[1].at.After(asOf) {
		l.snapshots = l.snapshots[1:]
	}
	return append([]infra.Host{}, l.snapshots[0].hosts...), asOf, nil
}

// Handler returns the HTTP interface of l.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+httpinfra.PathHosts, l.serve)
	return mux
}

// Start serves l on addr, such as 127.0.0.1:0.
func (l *List) Start(addr string) (*loopback.Server, error) {
	return loopback.Start(addr, l.Handler())
}

func (l *List) serve(w http.ResponseWriter, r *http.Request) {
	hosts, at, err := l.Hosts(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(httpinfra.HostsAnswer{Hosts: hosts, AsOf: at})
}

func (l *List) record(hosts []infra.Host) {
	l.snapshots = append(l.snapshots, snapshot{hosts: hosts, at: time.Now()})
}

// without returns the newest list without the host id.
func (l *List) without(id wigeonfork.HostID) []infra.Host {
	newest := l.snapshots[len(l.snapshots)-1].hosts
	kept := make([]infra.Host, 0, len(newest)+1)
	for _, host := range newest {
		if host.ID != id {
			kept = append(kept, host)
		}
	}
	return kept
}
