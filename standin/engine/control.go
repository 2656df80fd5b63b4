package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
	"github.com/wigeonfork/wigeonfork/standin/loopback"
)

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.loadReport(time.Now()))
}

// loadReport returns the last report, or a new one if the last is at least LoadReportLag old.
func (s *Server) loadReport(now time.Time) backend.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	options := s.options.Load()
	inc := s.current
	fresh := !inc.report.MeasuredAt.IsZero() && now.Sub(inc.report.MeasuredAt) < options.LoadReportLag
	if !fresh {
		inc.report = inc.measure(options, now)
	}
	return inc.report
}

// measure returns the load of the engine. Server.mu is held.
func (inc *incarnation) measure(options *Options, now time.Time) backend.LoadReport {
	running := int(inc.running.Load())
	report := backend.LoadReport{
		Running: running, Waiting: len(inc.queue), Slots: options.slots(),
		CacheUsed:   inc.cache.utilization(options.CacheBlocks),
		MeasuredAt:  now,
		Incarnation: inc.id,
	}
	if perToken := options.tokenTime(running-1, 1); running > 0 && perToken > 0 {
		report.TokensPerSecond = float64(running) / perToken.Seconds()
	}
	for key, ready := range inc.versions {
		report.Versions = append(report.Versions, backend.LoadedVersion{Model: key.model, Version: key.version, Ready: ready})
	}
	sort.Slice(report.Versions, func(i, j int) bool {
		a, b := report.Versions[i], report.Versions[j]
		return a.Model < b.Model || a.Model == b.Model && a.Version < b.Version
	})
	return report
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "bad sequence number", http.StatusBadRequest)
		return
	}
	options := s.options.Load()
	s.mu.Lock()
	events := s.current.cache.eventsSince(since, options.CacheEventLag, options.CacheEventGap, time.Now())
	s.mu.Unlock()
	writeJSON(w, httpbackend.CacheEvents{Events: events})
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order backend.Order
	if err := decodeBody(w, r, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if refused := s.order(order); refused != nil {
		http.Error(w, refused.err.Error(), refused.status)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) order(order backend.Order) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	inc := s.current
	if inc.ctx.Err() != nil {
		return refuse(http.StatusServiceUnavailable, "engine is closed")
	}
	if s.options.Load().ChecksFencing && order.Fencing < inc.fencing[order.Scope] {
		s.refused = append(s.refused, order)
		return refuse(http.StatusConflict, "fencing number %d is below %d", order.Fencing, inc.fencing[order.Scope])
	}
	key := versionKey{order.Model, order.Version}
	switch order.Kind {
	case backend.OrderLoad:
		s.load(inc, key)
	case backend.OrderUnload:
		delete(inc.versions, key)
	case backend.OrderChangeRole:
	default:
		return refuse(http.StatusBadRequest, "unknown order %q", order.Kind)
	}
	inc.fencing[order.Scope] = max(inc.fencing[order.Scope], order.Fencing)
	s.orders = append(s.orders, order)
	return nil
}

// load starts to load a version unless it is loaded or loading. s.mu is held.
func (s *Server) load(inc *incarnation, key versionKey) {
	if _, held := inc.versions[key]; held {
		return
	}
	inc.versions[key] = false
	s.workers.Add(1)
	go func() {
		defer s.workers.Done()
		loaded := s.fetch(inc.ctx, key)
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, wanted := inc.versions[key]; !wanted {
			return
		}
		if loaded {
			inc.versions[key] = true
			return
		}
		delete(inc.versions, key)
	}()
}

// fetch reads the weights of a version and returns whether it got all of them.
func (s *Server) fetch(ctx context.Context, key versionKey) bool {
	options := s.options.Load()
	if options.WeightsAddress == "" {
		return loopback.Sleep(ctx, options.LoadDuration)
	}
	url := "http://" + options.WeightsAddress + "/v1/weights/" + string(key.model) + "/" + string(key.version) + "/data"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	read, err := io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && read == resp.ContentLength
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
