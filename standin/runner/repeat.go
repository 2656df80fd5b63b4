package runner

import (
	"net/http"

	"github.com/wigeonfork/wigeonfork/standin/repeat"
)

// serveRepeating answers a request without an id and those after it on its connection. Each answer is sent a second
// time where the answer to the next request is expected. A caller's request runs, but its own answer never comes.
func (r *Runner) serveRepeating(w http.ResponseWriter, q *http.Request) {
	answer := repeat.Record(r.controlHandler(q.URL.Path), q)
	conn, in, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	for answer.Send(conn) == nil {
		next, err := http.ReadRequest(in.Reader)
		if err != nil || answer.Send(conn) != nil {
			return
		}
		serve := r.controlHandler(next.URL.Path)
		if serve == nil {
			r.shared.beginRun(&Run{RequestID: next.Header.Get("Wigeonfork-Request-Id"), RunnerID: r.ID, Path: next.RequestURI, Header: next.Header})
			return
		}
		answer = repeat.Record(serve, next)
	}
}
