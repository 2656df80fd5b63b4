package hostile

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
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

// gatewayProcess is a started gateway and the addresses of its listeners.
type gatewayProcess struct {
	subject
	callers, balancer, metrics, peers string
}

// limits are those in the settings of a process. 0 descriptors are none.
type limits struct{ memoryMB, descriptors int }

// hosts numbers the loopback addresses of the gateways, whose ports are fixed.
var hosts atomic.Int64

// nextHost returns a loopback address of this test process alone, so that two runs at the same time don't meet.
func nextHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 201+pid%50, 1+pid/50%250, hosts.Add(1))
}

func startGateway(t *testing.T, binary, store string, of limits) *gatewayProcess {
	ip := nextHost()
	settings := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf("node_name = \"g\"\nzone = \"zone-0\"\nip = %q\ninternal_ports = [7680, 7695]\n[listen]\nfront = %q\nready = %q\n[limits]\nmemory_mb = %d\nmax_fds = %d\n[platform]\naddress = %q\n",
		ip, ip+":8603", ip+":8602", of.memoryMB, of.descriptors, store)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(binary)
	command.Env = append(os.Environ(), "WIGEONFORK_CONFIG="+settings)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	g := &gatewayProcess{
		subject: subject{pid: command.Process.Pid, ended: ended},
		callers: ip + ":8603", balancer: ip + ":8602", metrics: ip + ":9464", peers: ip + ":7680",
	}
	g.order = func() error { return statusError(g.orderWith("")) }
	go func() {
		// How the process ended shows in whether it ended.
		_ = command.Wait()
		close(ended)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-ended
	})
	g.awaitReady(t)
	return g
}

func (g *gatewayProcess) awaitReady(t *testing.T) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if get(g.balancer, "/ready") == nil {
			return
		}
	}
	t.Fatal("the gateway is not ready")
}

// listeners returns the TCP listeners of the gateway.
func (g *gatewayProcess) listeners() []listener {
	upload := "POST " + deployment.SafePath + "x HTTP/1.1\r\nHost: " + deployment.Host + "\r\nWigeonfork-Request-Id: upload\r\nAuthorization: Bearer " + deployment.APIKey + "\r\n"
	return []listener{
		{name: "callers", address: g.callers, upload: upload, ordinary: g.order},
		httpListener("balancer", g.balancer, "/ready"),
		httpListener("metrics", g.metrics, "/metrics"),
	}
}

// orderWith sends one ordinary request with more lines in its head, and returns the status of its answer.
func (g *gatewayProcess) orderWith(lines string) (int, error) {
	return exchange(g.callers, fmt.Sprintf("GET %sx HTTP/1.1\r\nHost: %s\r\nWigeonfork-Request-Id: ordinary\r\nAuthorization: Bearer %s\r\n%s\r\n",
		deployment.SafePath, deployment.Host, deployment.APIKey, lines))
}
