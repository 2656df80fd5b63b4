package runner

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/wigeonfork/wigeonfork/standin/loopback"
)

// Ending is how an unframed answer ends.
type Ending uint8

const (
	// EndClose closes the connection after the complete body.
	EndClose Ending = iota
	// EndReset resets the connection after the complete body.
	EndReset
	// EndInside closes the connection within the body: of a stream after the first half of an
	// event, of a plain answer never, since nobody could tell.
	EndInside
	// EndResetInside resets the connection there, and of a plain answer after its first half.
	EndResetInside
	// EndOpen sends the complete body and leaves the connection open.
	EndOpen
	// EndEmpty closes the connection of a stream behind its head.
	EndEmpty
)

// Unframed makes answers have neither a length nor chunks, so that they end with their connection.
type Unframed struct {
	Ending Ending
	// Informational sends an informational head before that of the answer.
	Informational bool
	// Events is the number of complete events of a stream before EndInside and EndResetInside.
	Events uint64
}

// unframedWriter writes an answer on the connection of a request.
type unframedWriter struct {
	conn   net.Conn
	header http.Header
	faults Unframed
	status int
	begun  bool
}

// newUnframedWriter takes the connection of a request over.
func newUnframedWriter(w http.ResponseWriter, faults Unframed) *unframedWriter {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return &unframedWriter{conn: conn, header: w.Header(), faults: faults, status: http.StatusOK}
}

// Write implements io.Writer. It sends the head first.
func (u *unframedWriter) Write(p []byte) (int, error) {
	if !u.begun {
		u.begun = true
		var head strings.Builder
		if u.faults.Informational {
			head.WriteString("HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n")
		}
		fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", u.status, http.StatusText(u.status))
		if err := u.header.Write(&head); err != nil {
			return 0, err
		}
		head.WriteString("\r\n")
		if _, err := io.WriteString(u.conn, head.String()); err != nil {
			return 0, err
		}
	}
	return u.conn.Write(p)
}

// end ends the answer as the faults say.
func (u *unframedWriter) end() {
	switch u.faults.Ending {
	case EndReset, EndResetInside:
		loopback.ResetConn(u.conn)
	case EndOpen:
	default:
		_ = u.conn.Close()
	}
}

// plainUnframed writes a plain answer.
func (r *Runner) plainUnframed(w http.ResponseWriter, faults Faults, text string) {
	u := newUnframedWriter(w, *faults.Unframed)
	if faults.Fail {
		u.status = http.StatusInternalServerError
	}
	if faults.Unframed.Ending == EndResetInside {
		text = text[:len(text)/2]
	}
	// A write error means that the caller has disconnected.
	_, _ = io.WriteString(u, text)
	u.end()
}

// streamUnframed writes the events of a run.
func (r *Runner) streamUnframed(w http.ResponseWriter, q *http.Request, run *Run, faults Unframed) {
	u := newUnframedWriter(w, faults)
	defer u.end()
	if faults.Ending == EndEmpty {
		r.shared.endRun(run, true)
		// A write error means that the caller has disconnected.
		_, _ = u.Write(nil)
		return
	}
	inside := faults.Ending == EndInside || faults.Ending == EndResetInside
	for id := run.LastEventID + 1; id <= r.options.Events; id++ {
		text := EventText(run.RequestID, id)
		cut := inside && id == run.LastEventID+1+faults.Events
		if cut {
			text = text[:len(text)/2]
		}
		if !loopback.Sleep(loopback.ServerContext(q.Context()), r.options.EventGap) {
			r.shared.endRun(run, true)
			return
		}
		if _, err := io.WriteString(u, text); err != nil || cut {
			r.shared.endRun(run, true)
			return
		}
	}
	r.shared.endRun(run, false)
}
