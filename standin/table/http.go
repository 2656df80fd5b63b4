package table

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/infra/httpinfra"
	"github.com/wigeonfork/wigeonfork/standin/loopback"
)

const maxBodyBytes = 16 << 20

// Handler returns the HTTP interface of t.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+httpinfra.PathRows, t.serveGet)
	mux.HandleFunc("GET "+httpinfra.PathScan, t.serveScan)
	mux.HandleFunc("POST "+httpinfra.PathCommit, t.serveCommit)
	return mux
}

// Start serves t on addr, such as 127.0.0.1:0. The rows survive a kill of the server.
func (t *Table) Start(addr string) (*loopback.Server, error) {
	return loopback.Start(addr, t.Handler())
}

func (t *Table) serveGet(w http.ResponseWriter, r *http.Request) {
	row, err := t.Get(r.Context(), r.URL.Query().Get("key"))
	writeResponse(w, row, err)
}

func (t *Table) serveScan(w http.ResponseWriter, r *http.Request) {
	query, err := parseScan(r)
	if err != nil {
		writeResponse(w, nil, refuse("scan", err))
		return
	}
	page, err := t.Scan(r.Context(), query)
	writeResponse(w, page, err)
}

func parseScan(r *http.Request) (infra.ScanQuery, error) {
	values := r.URL.Query()
	since, err := strconv.ParseUint(values.Get("since"), 10, 64)
	if err != nil && values.Has("since") {
		return infra.ScanQuery{}, errors.Wrap(ErrBadRequest, "since")
	}
	limit, err := strconv.Atoi(values.Get("limit"))
	if err != nil && values.Has("limit") {
		return infra.ScanQuery{}, errors.Wrap(ErrBadRequest, "limit")
	}
	return infra.ScanQuery{
		Prefix: values.Get("prefix"),
		Since:  infra.Revision(since),
		From:   values.Get("from"),
		Limit:  limit,
	}, nil
}

func (t *Table) serveCommit(w http.ResponseWriter, r *http.Request) {
	var tx infra.Transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&tx); err != nil {
		writeResponse(w, nil, refuse("commit", errors.Wrap(ErrBadRequest, err.Error())))
		return
	}
	// A started commit completes even if the client disconnects.
	commit, err := t.Commit(loopback.ServerContext(r.Context()), tx)
	writeResponse(w, commit, err)
}

// writeResponse writes value, or err if it states that nothing was done. On any other error it
// aborts the connection, since the outcome is unknown.
func writeResponse(w http.ResponseWriter, value any, err error) {
	if err == nil {
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(value)
		return
	}
	if infra.OutcomeOf(err) != infra.OutcomeNotDone {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, err.Error(), statusOf(err))
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrRateLimited):
		return http.StatusTooManyRequests
	case errors.Is(err, ErrBadRequest):
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}
