package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/infra"
)

// cutAnswer is what came of an answer: the errors of its head and of its body, and the body.
type cutAnswer struct {
	headErr, bodyErr error
	body             string
}

// exchangeCut returns what the answer to a request is if the server sends the first n bytes of text and closes.
func exchangeCut(t *testing.T, text string, n int) cutAnswer {
	server := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		if _, _, err := readRequest(in); err == nil {
			io.WriteString(conn, text[:n])
		}
	})
	pool := NewPool(Options{})
	defer pool.Close()
	response, err := pool.Do(context.Background(), server, newRequest())
	if err != nil {
		return cutAnswer{headErr: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return cutAnswer{bodyErr: err, body: string(data)}
}

// TestAnswersThatBreakOffAnywhere guards against answers that are framed as complete although the server broke off within
// their head or body: an answer whose head lacks its last lines may lack the length of its body.
func TestAnswersThatBreakOffAnywhere(t *testing.T) {
	heads := map[string]string{
		"a length":     "HTTP/1.1 200 OK\r\nWigeonfork-Request-Id: r\r\nContent-Length: 12\r\n\r\n",
		"chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nWigeonfork-Request-Id: r\r\n\r\n",
		"neither":      "HTTP/1.1 200 OK\r\nWigeonfork-Request-Id: r\r\n\r\n",
		"early hints":  "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
		"bare feeds":   "HTTP/1.1 200 OK\nA: b\nContent-Length: 12\n\n",
		"folded lines": "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 12\r\n\r\n",
	}
	bodies := map[string]string{"chunks": "6\r\nhello \r\n6\r\nworld!\r\n0\r\n\r\n"}
	for name, head := range heads {
		Convey("An answer with "+name, t, func() {
			Convey("has no head if that breaks off at any byte", func() {
				for n := range len(head) {
					answer := exchangeCut(t, head, n)
					So(answer.headErr, ShouldNotBeNil)
					So(infra.OutcomeOf(answer.headErr), ShouldEqual, infra.OutcomeUnknown)
				}
			})
			body, framed := bodies[name], true
			if body == "" {
				body, framed = "hello world!", name != "neither"
			}
			Convey("has no complete body if that breaks off at any byte, unless it has no frame", func() {
				for n := range len(body) {
					answer := exchangeCut(t, head+body, len(head)+n)
					So(answer.headErr, ShouldBeNil)
					So(answer.bodyErr != nil, ShouldEqual, framed)
				}
			})
			Convey("is complete otherwise", func() {
				So(exchangeCut(t, head+body, len(head)+len(body)), ShouldResemble, cutAnswer{body: "hello world!"})
			})
		})
	}
}
