// Package memory loads a gateway process with large bodies and answers without end, and compares its memory with its
// limit. It is run by hand: go test ./test/memory -args -full
package memory

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/deployment"
	"github.com/wigeonfork/wigeonfork/standin/runner"
)

var full = flag.Bool("full", false, "load gateways of 88, 120 and 536 MB; takes a minute")

const (
	// loadTime is how long each gateway is loaded.
	loadTime = 12 * time.Second
	// bodyBytes is max_body_bytes, and bodyInterval the time between two such bodies: ten times the rate of a
	// gateway on the large site.
	bodyBytes    = 4 << 20
	bodyInterval = 110 * time.Millisecond
	// endlessCallers send requests that the faulty servers answer without end.
	endlessCallers = 140
	// maxFraction is the fraction of the memory limit that may be used at the peak.
	maxFraction = 0.8
)

// endless are answers without end: their beginning, with ID for the request's id, and what is repeated.
var endless = [][2]string{
	{"HTTP/1.1 200 OK\r\nWigeonfork-Request-Id: ID\r\nWigeonfork-Response-Signature: s\r\n\r\n", "x"},
	{"HTTP/1.1 200 OK\r\nWigeonfork-Request-Id: ID\r\nWigeonfork-Response-Signature: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x"},
	{"HTTP/1.1 200 ", "x"},
	{"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
}

// TestGatewayStaysBelowItsMemoryLimit guards against a process that is ended for its memory, and with it the requests of
// all its callers.
func TestGatewayStaysBelowItsMemoryLimit(t *testing.T) {
	if !*full {
		t.Skip("run by hand, with -args -full; platform TestEndlessAnswersStayWithinTheMemoryLimit is the short form")
	}
	binary := filepath.Join(t.TempDir(), "gateway")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/wigeonfork-gateway").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	for _, limit := range []int{88, 120, 536} {
		t.Run(fmt.Sprint(limit, " MB"), func(t *testing.T) { checkPeak(t, binary, limit) })
	}
}

func checkPeak(t *testing.T, binary string, limitMB int) {
	d, err := deployment.Start(deployment.Options{
		Engines: 1, Plain: 1,
		Engine:      runner.Options{Engine: true, Events: 100, EventGap: 20 * time.Millisecond, Prefill: 200 * time.Millisecond},
		PlainServer: runner.Options{ServiceTime: 5 * time.Millisecond}, StreamTimeout: 20 * time.Second, PlainTimeout: 5 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.ConfigureWith(func(c *deployment.Configuration) { c.Limits["max_body_bytes"] = bodyBytes })
	for i, answer := range endless {
		for _, service := range []string{deployment.Engines, deployment.Plain} {
			registerEndless(t, d, service, fmt.Sprintf("i-endless-%s-%d", service, i), answer)
		}
	}
	g := startGateway(t, binary, d.StoreAddress(), limitMB)
	load := &load{t: t, callers: g.callers, shared: d.Shared}
	load.run()
	peak, count := g.peakAnon(), g.memory()
	t.Logf("limit %d MB: peak %.1f MB anonymous, quota %.1f MB, its peak %.1f MB, left %d B; %d served, %d refused, %d ended otherwise; sound: %d of %d whole",
		limitMB, mb(peak), mb(count.Limit), mb(count.Peak), count.Held, load.served.Load(), load.refused.Load(), load.other.Load(),
		load.soundWhole.Load(), load.sound.Load())
	if mb(peak) > maxFraction*float64(limitMB) {
		t.Errorf("the peak is above %.0f%% of the limit", 100*maxFraction)
	}
	if load.falseRefusals.Load() > 0 {
		t.Errorf("%d refused requests have run", load.falseRefusals.Load())
	}
	if load.soundWhole.Load() != load.sound.Load() {
		t.Error("an answer of a sound server under way was ended")
	}
}

func mb(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// registerEndless starts a server that answers without end and registers it.
func registerEndless(t *testing.T, d *deployment.Deployment, service, id string, answer [2]string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	piece := strings.Repeat(answer[1], 1+64<<10/len(answer[1]))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerEndlessly(conn, answer[0], piece)
		}
	}()
	d.Store.Put("servers", id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"zone-0","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}`, service, listener.Addr()))
}

func answerEndlessly(conn net.Conn, first, piece string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, err = io.WriteString(conn, strings.ReplaceAll(first, "ID", request.Header.Get("Wigeonfork-Request-Id")))
	for err == nil {
		_, err = io.WriteString(conn, piece)
	}
}

// gatewayProcess is a started gateway.
type gatewayProcess struct {
	t                *testing.T
	pid              int
	callers, metrics string
	done             chan struct{}
	peak             atomic.Int64
}

// hosts numbers the loopback addresses of the gateways, whose metrics port is fixed.
var hosts atomic.Int64

func startGateway(t *testing.T, binary, store string, limitMB int) *gatewayProcess {
	ip := fmt.Sprintf("127.7.3.%d", hosts.Add(1))
	settings := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf("node_name = \"g\"\nzone = \"zone-0\"\nip = %q\ninternal_ports = [7680, 7695]\n[listen]\nfront = %q\nready = %q\n[limits]\nmemory_mb = %d\n[platform]\naddress = %q\n",
		ip, ip+":8603", ip+":8602", limitMB, store)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(binary)
	command.Env = append(os.Environ(), "WIGEONFORK_CONFIG="+settings)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	g := &gatewayProcess{t: t, pid: command.Process.Pid, callers: ip + ":8603", metrics: ip + ":9464", done: make(chan struct{})}
	t.Cleanup(func() {
		close(g.done)
		// The process may have ended by itself, which the test has seen by then.
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + ip + ":8602/ready")
		if err == nil {
			response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the gateway is not ready")
		}
	}
	go g.watch()
	return g
}

// watch samples the anonymous memory of the process: without the program's file.
func (g *gatewayProcess) watch() {
	for {
		select {
		case <-g.done:
			return
		case <-time.After(5 * time.Millisecond):
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.pid))
			if err != nil {
				return
			}
			for line := range strings.Lines(string(status)) {
				if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
					if kib, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
						g.peak.Store(max(g.peak.Load(), kib<<10))
					}
				}
			}
		}
	}
}

func (g *gatewayProcess) peakAnon() int64 { return g.peak.Load() }

// memoryCount is the gateway's own count.
type memoryCount struct {
	Limit int64 `json:"limit_bytes"`
	Peak  int64 `json:"peak_bytes"`
	Held  int64 `json:"held_bytes"`
}

func (g *gatewayProcess) memory() memoryCount {
	response, err := http.Get("http://" + g.metrics + "/state")
	if err != nil {
		g.t.Fatalf("the gateway does not answer any more: %v", err)
	}
	defer response.Body.Close()
	var state struct{ Memory memoryCount }
	if err := json.NewDecoder(response.Body).Decode(&state); err != nil {
		g.t.Fatal(err)
	}
	return state.Memory
}

// load is the load of one gateway with its results.
type load struct {
	t                                     *testing.T
	callers                               string
	shared                                *runner.SharedState
	sequence                              atomic.Int64
	served, refused, falseRefusals, other atomic.Int64
	// sound counts the streams that a sound server had begun, and soundWhole those of them that were whole.
	sound, soundWhole atomic.Int64
}

// run loads the gateway for loadTime and returns when all requests have ended.
func (l *load) run() {
	end := time.Now().Add(loadTime)
	var wait sync.WaitGroup
	body := strings.Repeat("x", bodyBytes)
	wait.Go(func() {
		for ; time.Now().Before(end); time.Sleep(bodyInterval) {
			wait.Go(func() { l.send(deployment.OncePath, body) })
		}
	})
	paths := []string{deployment.SafePath, deployment.UnsafePath, deployment.StreamPath, deployment.OncePath}
	for i := range endlessCallers {
		wait.Go(func() {
			for time.Now().Before(end) {
				l.send(paths[i%len(paths)], "text")
			}
		})
	}
	wait.Wait()
}

func (l *load) send(path, body string) {
	id := fmt.Sprintf("request-%d", l.sequence.Add(1))
	request, err := http.NewRequest("POST", "http://"+l.callers+path+"x", strings.NewReader(body))
	if err != nil {
		l.t.Error(err)
		return
	}
	request.Host = deployment.Host
	request.Header.Set("Wigeonfork-Request-Id", id)
	request.Header.Set("Wigeonfork-Deadline-Ms", "10000")
	request.Header.Set("Authorization", "Bearer "+deployment.APIKey)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		l.other.Add(1)
		return
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	ran := len(l.shared.Runs(id)) > 0
	isStream := path == deployment.OncePath && response.StatusCode == http.StatusOK && ran
	if isStream {
		l.sound.Add(1)
	}
	switch {
	case err == nil && response.StatusCode == http.StatusOK:
		l.served.Add(1)
		if isStream {
			l.soundWhole.Add(1)
		}
	case err == nil && response.StatusCode == http.StatusServiceUnavailable:
		l.refused.Add(1)
		if ran && path == deployment.OncePath {
			l.falseRefusals.Add(1)
		}
	default:
		l.other.Add(1)
	}
}
