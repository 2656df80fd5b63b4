package embedded

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// recorder collects the log output.
type recorder struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (r *recorder) Write(data []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(data)
}

func (r *recorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// stateDump returns the state dump of the process at a control address.
func stateDump(address string) string {
	handshake := peer.Handshake{ID: "test", Role: peer.RoleOperator, Credential: Credentials().Operator}
	client, err := peer.Dial(context.Background(), address, handshake, nil)
	So(err, ShouldBeNil)
	defer func() { _ = client.Close() }()
	var raw json.RawMessage
	So(client.Call(context.Background(), peer.MethodDump, peer.None{}, &raw), ShouldBeNil)
	return string(raw)
}

func TestLogsAndDumpsHoldNoContent(t *testing.T) {
	Convey("Neither logs at debug level nor state dumps contain prompts, answers or secrets", t, func() {
		log := &recorder{}
		options := Options{Entries: 2, Log: telemetry.NewLogger(log, "debug", "test", "test")}
		for range 3 {
			options.Engines = append(options.Engines, engine.Options{TokensPerSecond: 100, BufferFor: time.Minute})
		}
		system, err := Start(options)
		So(err, ShouldBeNil)
		defer system.Close()
		const prompt = "Hardship-of-Applicant-4711"
		var dumps strings.Builder
		text, _, err := generateWithFault(system, prompt, func(i int) {
			for _, node := range system.Entries {
				dumps.WriteString(stateDump(node.Control))
			}
			for _, node := range system.Agents {
				dumps.WriteString(stateDump(node.Control))
			}
			system.Standins.Engines[i].Kill()
		})
		So(err, ShouldBeNil)
		So(text, ShouldEqual, expectedText(prompt))
		output := log.String() + dumps.String()
		So(output, ShouldContainSubstring, "source_lost")
		So(dumps.String(), ShouldContainSubstring, "streaming")
		for _, secret := range []string{prompt, text[:20], text[len(text)-20:], peerKey, operatorKey, handleKey} {
			So(strings.Contains(output, secret), ShouldBeFalse)
		}
	})
}

func TestMalformedInputDoesNotAffectOtherCallers(t *testing.T) {
	Convey("Malformed, incomplete and oversized input on every listener leaves other answers complete", t, func() {
		system := startSystem(t, 1, 2)
		defer system.Close()
		inputs := []string{
			"",
			"\x00\xff\x00\xff",
			"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Le",
			"POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Workspace: demo\r\nContent-Length: 4000000\r\n\r\n{\"prompt\":",
			"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
			"GET / HTTP/1.1\r\nX-Large: " + strings.Repeat("x", 1<<20),
			"Content-Length: 99999999999\r\n\r\n{",
			"Content-Length: 20\r\n\r\n{\"jsonrpc\":\"2.0\"",
			strings.Repeat("{", 1<<20),
		}
		addresses := []string{system.Entries[0].Address, system.Entries[0].Control}
		for _, node := range system.Agents {
			addresses = append(addresses, node.Address, node.Control)
		}
		var open []net.Conn
		for _, address := range addresses {
			for _, input := range inputs {
				conn, err := net.Dial("tcp", address)
				So(err, ShouldBeNil)
				So(conn.SetWriteDeadline(time.Now().Add(time.Second)), ShouldBeNil)
				// The write may fail, since the server may close the connection at any time.
				_, _ = conn.Write([]byte(input))
				open = append(open, conn)
			}
		}
		text, _, err := generateWithFault(system, "Undisturbed", func(int) {})
		So(err, ShouldBeNil)
		So(text, ShouldEqual, expectedText("Undisturbed"))
		So(engineRuns(system), ShouldEqual, 1)
		for _, conn := range open {
			So(conn.Close(), ShouldBeNil)
		}
	})
}
