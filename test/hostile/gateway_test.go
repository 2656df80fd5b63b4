package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/deployment"
	"github.com/wigeonfork/wigeonfork/standin/runner"
)

// patience bounds each wait for something that must come about at any speed of the machine.
const patience = time.Minute

func startDeployment(t *testing.T) *deployment.Deployment {
	d, err := deployment.Start(deployment.Options{
		Engines: 1, Plain: 1,
		Engine:      runner.Options{Engine: true, Events: 10, EventGap: 20 * time.Millisecond},
		PlainServer: runner.Options{ServiceTime: 5 * time.Millisecond}, StreamTimeout: patience, PlainTimeout: patience,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.ConfigureWith(func(c *deployment.Configuration) { c.Limits["max_header_bytes"] = maxHeaderBytes })
	return d
}

// gatewayProcess is a started gateway.
type gatewayProcess struct {
	pid     int
	callers string
	ended   chan struct{}
}

// hosts numbers the loopback addresses of the gateways, whose ports are fixed.
var hosts atomic.Int64

// nextHost returns a loopback address of this test process alone, so that two runs at the same time don't meet.
func nextHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 201+pid%50, 1+pid/50%250, hosts.Add(1))
}

func startGateway(t *testing.T, binary, store string, memoryMB int) *gatewayProcess {
	ip := nextHost()
	settings := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf("node_name = \"g\"\nzone = \"zone-0\"\nip = %q\ninternal_ports = [7680, 7695]\n[listen]\nfront = %q\nready = %q\n[limits]\nmemory_mb = %d\n[platform]\naddress = %q\n",
		ip, ip+":8603", ip+":8602", memoryMB, store)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(binary)
	command.Env = append(os.Environ(), "WIGEONFORK_CONFIG="+settings)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	g := &gatewayProcess{pid: command.Process.Pid, callers: ip + ":8603", ended: make(chan struct{})}
	go func() {
		// How the process ended shows in whether it ended.
		_ = command.Wait()
		close(g.ended)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-g.ended
	})
	g.awaitReady(t, "http://"+ip+":8602/ready")
	return g
}

func (g *gatewayProcess) awaitReady(t *testing.T, address string) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get(address)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("the gateway is not ready")
}

// requireAlive returns the number of descriptors of the process, which must live.
func (g *gatewayProcess) requireAlive(t *testing.T) int {
	select {
	case <-g.ended:
		t.Fatal("the process has ended")
	default:
	}
	return g.descriptors(t)
}

func (g *gatewayProcess) descriptors(t *testing.T) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	return len(entries)
}

// awaitDescriptors waits until the process has at most n descriptors.
func (g *gatewayProcess) awaitDescriptors(t *testing.T, n int) {
	for end := time.Now().Add(patience); g.descriptors(t) > n; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d descriptors are open after the callers have left", g.descriptors(t))
		}
	}
}

// peakBytes returns the most resident memory that the process has had.
func (g *gatewayProcess) peakBytes(t *testing.T) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "VmHWM:" {
			continue
		}
		kib, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return kib << 10
	}
	t.Fatal("no peak in the status of the process")
	return 0
}

// orderWith sends one ordinary request with more lines in its head, and returns the status of its answer.
func (g *gatewayProcess) orderWith(lines string) (int, error) {
	conn, err := net.DialTimeout("tcp", g.callers, patience)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return 0, err
	}
	_, err = fmt.Fprintf(conn, "GET %sx HTTP/1.1\r\nHost: %s\r\nWigeonfork-Request-Id: ordinary\r\nAuthorization: Bearer %s\r\n%s\r\n",
		deployment.SafePath, deployment.Host, deployment.APIKey, lines)
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
