// Package weights is a stand-in for the platform's rate-limited weight store:
//
//	GET /v1/weights/{model}/{version}/info  returns an infra.WeightInfo
//	GET /v1/weights/{model}/{version}/data  returns SizeBytes zero bytes at the shared rate
package weights

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/infra/httpinfra"
	"github.com/wigeonfork/wigeonfork/standin/loopback"
	"golang.org/x/time/rate"
)

// blockBytes is the size of one write, and the burst of the rate limit.
const blockBytes = 16 << 10

type versionKey struct {
	model   wigeonfork.Model
	version wigeonfork.Version
}

// Store is a weight store whose readers share one rate limit.
type Store struct {
	limiter *rate.Limiter

	mu        sync.Mutex
	rate      int64
	sizes     map[versionKey]int64
	down      bool
	bytesRead int64
}

// New returns an empty Store whose readers together get rateBytesPerSecond.
func New(rateBytesPerSecond int64) *Store {
	return &Store{
		limiter: rate.NewLimiter(rate.Limit(rateBytesPerSecond), blockBytes),
		rate:    rateBytesPerSecond,
		sizes:   make(map[versionKey]int64),
	}
}

// Set stores a version whose weights have sizeBytes.
func (s *Store) Set(model wigeonfork.Model, version wigeonfork.Version, sizeBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[versionKey{model, version}] = sizeBytes
}

// SetRate changes the shared rate.
func (s *Store) SetRate(bytesPerSecond int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = bytesPerSecond
	s.limiter.SetLimit(rate.Limit(bytesPerSecond))
}

// SetDown makes every new request fail with 503 until it is called with false. Reads in progress
// continue.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// BytesRead returns the number of bytes sent to all readers, with those of a write that failed.
func (s *Store) BytesRead() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytesRead
}

// Handler returns the HTTP interface of s.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	path := "GET " + httpinfra.PathWeights + "/{model}/{version}"
	mux.HandleFunc(path+"/info", s.serveInfo)
	mux.HandleFunc(path+"/data", s.serveData)
	return mux
}

// Start serves s on addr, such as 127.0.0.1:0.
func (s *Store) Start(addr string) (*loopback.Server, error) {
	return loopback.Start(addr, s.Handler())
}

// lookup returns the weights that r names. On failure it writes the error and returns false.
func (s *Store) lookup(w http.ResponseWriter, r *http.Request) (infra.WeightInfo, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	info := infra.WeightInfo{
		Model:              wigeonfork.Model(r.PathValue("model")),
		Version:            wigeonfork.Version(r.PathValue("version")),
		RateBytesPerSecond: s.rate,
	}
	if s.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return info, false
	}
	size, stored := s.sizes[versionKey{info.Model, info.Version}]
	if !stored {
		http.Error(w, "no such version", http.StatusNotFound)
		return info, false
	}
	info.SizeBytes = size
	return info, true
}

func (s *Store) serveInfo(w http.ResponseWriter, r *http.Request) {
	info, found := s.lookup(w, r)
	if !found {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(info)
}

func (s *Store) serveData(w http.ResponseWriter, r *http.Request) {
	info, found := s.lookup(w, r)
	if !found {
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(info.SizeBytes, 10))
	block := make([]byte, blockBytes)
	for remaining := info.SizeBytes; remaining > 0; {
		n := min(remaining, blockBytes)
		if s.limiter.WaitN(r.Context(), int(n)) != nil {
			return
		}
		// The reader may look at the count as soon as it has the bytes.
		s.addBytesRead(n)
		if _, err := w.Write(block[:n]); err != nil {
			return
		}
		remaining -= n
	}
}

func (s *Store) addBytesRead(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytesRead += n
}
