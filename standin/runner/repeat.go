package runner

import (
	"bytes"
	"io"
	"net/http"
)

// bufferedAnswer is an answer that is written later, perhaps several times.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *bufferedAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *bufferedAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *bufferedAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }

// writeTo writes the answer to a connection.
func (a *bufferedAnswer) writeTo(w io.Writer) error {
	body := bytes.NewReader(a.body.Bytes())
	response := http.Response{
		StatusCode: a.status, ProtoMajor: 1, ProtoMinor: 1, Header: a.header,
		Body: io.NopCloser(body), ContentLength: body.Size(),
	}
	return response.Write(w)
}

// answerControl returns the answer to a request without an id.
func (r *Runner) answerControl(serve http.HandlerFunc, q *http.Request) *bufferedAnswer {
	answer := &bufferedAnswer{header: make(http.Header), status: http.StatusOK}
	serve(answer, q)
	return answer
}

// serveRepeating answers a request without an id and those after it on its connection. Each answer is sent a second
// time where the answer to the next request is expected. A caller's request runs, but its own answer never comes.
func (r *Runner) serveRepeating(w http.ResponseWriter, q *http.Request) {
	answer := r.answerControl(r.controlHandler(q.URL.Path), q)
	conn, in, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	for answer.writeTo(conn) == nil {
		next, err := http.ReadRequest(in.Reader)
		if err != nil || answer.writeTo(conn) != nil {
			return
		}
		serve := r.controlHandler(next.URL.Path)
		if serve == nil {
			r.shared.beginRun(&Run{RequestID: next.Header.Get("Wigeonfork-Request-Id"), RunnerID: r.ID, Path: next.RequestURI, Header: next.Header})
			return
		}
		answer = r.answerControl(serve, next)
	}
}
