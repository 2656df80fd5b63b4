package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/infra"
)

// uploadBytes is the size of a body that doesn't fit in the buffers of sockets, in bytes.
const uploadBytes = 16 << 20

// breakOff is how a server answers an upload and ends.
type breakOff struct {
	// read is the number of bytes of the body that it reads before it answers, and readAfter of those before it ends.
	read, readAfter int64
	// head and body are its answer.
	head, body string
	// reset ends the connection by a reset. A close with unread bytes is one too.
	reset bool
	// halfClose ends only the answer. The server then reads nothing for a moment and closes.
	halfClose bool
}

func (b breakOff) play(conn net.Conn, in *bufio.Reader) {
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if request.ContentLength > 0 {
			_, _ = io.CopyN(io.Discard, request.Body, b.read)
			_, _ = io.WriteString(conn, b.head+b.body)
			_, _ = io.CopyN(io.Discard, request.Body, b.readAfter)
			break
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
	// What was sent arrives before the reset.
	time.Sleep(5 * time.Millisecond)
	tcp := conn.(*net.TCPConn)
	switch {
	case b.reset:
		_ = tcp.SetLinger(0)
	case b.halfClose:
		_ = tcp.CloseWrite()
		time.Sleep(20 * time.Millisecond)
	}
}

// upload sends an upload to a server that breaks off, on a fresh or on a kept connection, and returns what came of it.
func (b breakOff) upload(t *testing.T, kept bool) cutAnswer {
	server := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) { b.play(conn, in) })
	pool := NewPool(Options{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if kept {
		response, err := pool.Do(ctx, server, newRequest())
		if err != nil {
			t.Fatal(err)
		}
		readBody(t, response)
	}
	request := newRequest()
	request.Method, request.HasBody, request.Body = "POST", true, make([]byte, uploadBytes)
	response, err := pool.Do(ctx, server, request)
	if err != nil {
		return cutAnswer{headErr: err}
	}
	if response.Reused != kept {
		t.Error("the connection is not the expected one")
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return cutAnswer{bodyErr: err, body: string(data)}
}

const (
	uploadHead     = "HTTP/1.1 200 OK\r\nWigeonfork-Request-Id: r\r\n"
	unmarkedHead   = uploadHead + "\r\n"
	markedHead     = uploadHead + "Content-Length: 12\r\n\r\n"
	chunkedHead    = uploadHead + "Transfer-Encoding: chunked\r\n\r\n"
	wholeBody      = "hello world!"
	wholeChunks    = "c\r\nhello world!\r\n0\r\n\r\n"
	partOfChunks   = "6\r\nhello \r\n"
	repetitions    = 10
	partOfTheBody  = "hello "
	partOfTheBytes = 1 << 20
)

// TestAnswersThatBreakOffInAnUpload guards against a part of an answer that is taken for a complete one, since the write of
// the request consumed the error of the connection and the read saw a plain end.
func TestAnswersThatBreakOffInAnUpload(t *testing.T) {
	places := map[string]breakOff{
		"before the upload, by reset":        {reset: true},
		"before the upload, by close":        {},
		"before the upload, by half a close": {halfClose: true},
		"in the upload, by reset":            {read: partOfTheBytes, reset: true},
		"in the upload, by close":            {read: partOfTheBytes},
		"in the upload, by half a close":     {read: partOfTheBytes, halfClose: true},
		"later in the upload, by reset":      {read: partOfTheBytes, readAfter: partOfTheBytes, reset: true},
	}
	for name, place := range places {
		for _, kept := range []bool{false, true} {
			Convey(fmt.Sprintf("An answer that breaks off %s, kept connection: %v", name, kept), t, func() {
				for head, body := range map[string]string{unmarkedHead: partOfTheBody, markedHead: partOfTheBody, chunkedHead: partOfChunks} {
					place.head, place.body = head, body
					complete := 0
					for range repetitions {
						answer := place.upload(t, kept)
						if answer.headErr == nil && answer.bodyErr == nil {
							complete++
						}
						if answer.headErr != nil && infra.OutcomeOf(answer.headErr) != infra.OutcomeUnknown {
							t.Errorf("the outcome is not unknown: %v", answer.headErr)
						}
					}
					So(complete, ShouldEqual, 0)
				}
			})
		}
	}
}

// TestAnswersAfterAnUpload guards against whole answers that are taken for broken ones.
func TestAnswersAfterAnUpload(t *testing.T) {
	for _, kept := range []bool{false, true} {
		Convey(fmt.Sprintf("After the upload, kept connection: %v", kept), t, func() {
			after := breakOff{read: uploadBytes, head: unmarkedHead, body: wholeBody}
			Convey("an answer whose end isn't marked is complete if the connection ends in order", func() {
				for range repetitions {
					So(after.upload(t, kept), ShouldResemble, cutAnswer{body: wholeBody})
				}
			})
			Convey("it isn't if the connection is reset", func() {
				after.reset = true
				for range repetitions {
					So(after.upload(t, kept).bodyErr, ShouldNotBeNil)
				}
			})
			Convey("one whose end is marked is complete in either case, also before the upload was read", func() {
				for head, body := range map[string]string{markedHead: wholeBody, chunkedHead: wholeChunks} {
					for _, b := range []breakOff{{read: uploadBytes}, {read: uploadBytes, reset: true}, {read: partOfTheBytes, halfClose: true}} {
						b.head, b.body = head, body
						for range repetitions {
							So(b.upload(t, kept), ShouldResemble, cutAnswer{body: wholeBody})
						}
					}
				}
			})
		})
	}
}

// TestRestOfAnUploadReachesNobodyElse guards against the rest of a body that is read as the next request, after an early
// answer that is whole.
func TestRestOfAnUploadReachesNobodyElse(t *testing.T) {
	Convey("The connection of an early answer is not kept", t, func() {
		connections := make(chan int, 10)
		server := serve(t, func(n int, conn net.Conn, in *bufio.Reader) {
			connections <- n
			for {
				request, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, markedHead+wholeBody)
				_, _ = io.Copy(io.Discard, request.Body)
			}
		})
		pool := NewPool(Options{})
		defer pool.Close()
		request := newRequest()
		request.Method, request.HasBody, request.Body = "POST", true, []byte(strings.Repeat("GET / HTTP/1.1\r\n\r\n", uploadBytes/18))
		response, err := pool.Do(context.Background(), server, request)
		So(err, ShouldBeNil)
		So(readBody(t, response), ShouldEqual, wholeBody)
		response, err = pool.Do(context.Background(), server, newRequest())
		So(err, ShouldBeNil)
		So(readBody(t, response), ShouldEqual, wholeBody)
		So(<-connections, ShouldEqual, 0)
		So(<-connections, ShouldEqual, 1)
	})
}

// TestStatusesThatAreNone guards against answers that are none: their status was taken for an informational one, or passed on.
func TestStatusesThatAreNone(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "+20", "-20", "0x1", "20", "2000", " 20"} {
		Convey("A head with the status "+status+" is no answer", t, func() {
			server := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				if _, _, err := readRequest(in); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n"+markedHead+wholeBody)
				}
			})
			pool := NewPool(Options{})
			defer pool.Close()
			_, err := pool.Do(context.Background(), server, newRequest())
			So(err, ShouldNotBeNil)
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
		})
	}
	for _, status := range []int{200, 299, 404, 500, 599} {
		Convey(fmt.Sprintf("%d is one, after informational heads", status), t, func() {
			server := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				if _, _, err := readRequest(in); err == nil {
					fmt.Fprintf(conn, "HTTP/1.1 100 A\r\n\r\nHTTP/1.1 199 B\r\n\r\nHTTP/1.1 %d C\r\nContent-Length: 0\r\n\r\n", status)
				}
			})
			pool := NewPool(Options{})
			defer pool.Close()
			response, err := pool.Do(context.Background(), server, newRequest())
			So(err, ShouldBeNil)
			So(response.Status, ShouldEqual, status)
			readBody(t, response)
		})
	}
}
