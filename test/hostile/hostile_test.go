// Package hostile lets callers that keep to no limits loose on a gateway process, one mode at a time, and checks that it
// lives, that its memory and descriptors stay within bounds and that it answers an ordinary request afterwards. With
// -args -full it runs crowds of 300 and 1,000 callers against memory limits of 88, 134 and 536 MB.
package hostile

import (
	"flag"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

var full = flag.Bool("full", false, "run crowds of 300 and 1,000 callers; takes minutes")

const (
	// maxHeaderBytes is the limit of the configuration on a head in bytes.
	maxHeaderBytes = 256 << 10
	// slowHeadBytes is what a caller sends of a head that it doesn't end, in bytes.
	slowHeadBytes = 250_000
	// floodBytes is what a caller sends on each connection if its head is over the limit, in bytes.
	floodBytes = 2 << 20
	// floodConnections is the number of connections that such a caller opens, one after another.
	floodConnections = 10
	// maxFraction is the fraction of the memory limit that the process may have used at its peak.
	maxFraction = 0.8
	// keptConnections is the number of connections that a caller keeps if it sends little on each.
	keptConnections = 7
	// maxDescriptors is the limit on the descriptors of a process in the tests of connections.
	maxDescriptors = 600
	// ownDescriptors bounds the descriptors of a gateway beside one for each caller's connection.
	ownDescriptors = 64
)

// size is a memory limit in MB and a number of callers.
type size struct{ memoryMB, callers int }

// smallSize shows the faults with few callers.
var smallSize = size{memoryMB: 48, callers: 120}

// fullSizes are those of the operators' machines.
var fullSizes = []size{{88, 300}, {88, 1000}, {134, 300}, {134, 1000}, {536, 300}, {536, 1000}}

// TestGatewayOutlivesHeadsWithoutEnd guards against a process that ends for its memory, or answers nobody any more, since
// callers send heads without end, above the limit, or up to the limit without their last line.
func TestGatewayOutlivesHeadsWithoutEnd(t *testing.T) {
	binary := build(t)
	sizes := []size{smallSize}
	if *full {
		sizes = fullSizes
	}
	for _, s := range sizes {
		for _, m := range append(modes, mixed) {
			t.Run(fmt.Sprintf("%s/%d callers/%d MB", m.name, s.callers, s.memoryMB), func(t *testing.T) { check(t, binary, s, m) })
		}
	}
}

func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "gateway")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/wigeonfork-gateway").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return binary
}

func check(t *testing.T, binary string, s size, m mode) {
	d := startDeployment(t)
	g := startGateway(t, binary, d.StoreAddress(), limits{memoryMB: s.memoryMB})
	beside := 0
	crowd := &crowd{callers: s.callers, address: g.callers, mode: m, arrived: func(t *testing.T) {
		beside = g.requireAlive(t)
		requireAnswer(t, &g.subject, "while the callers are there")
	}}
	crowd.run(t)
	requireAnswer(t, &g.subject, "afterwards")
	g.requirePeak(t, s.memoryMB, beside)
	if beside > s.callers+ownDescriptors {
		t.Errorf("%d descriptors for %d callers", beside, s.callers)
	}
	g.awaitDescriptors(t, ownDescriptors)
}

func requireAnswer(t *testing.T, s *subject, when string) {
	if err := s.order(); err != nil {
		t.Errorf("an ordinary request was not answered %s: %v", when, err)
	}
}

// TestHeadsJustInsideTheLimitAreServedInCalm guards against limits that refuse what the configuration allows.
func TestHeadsJustInsideTheLimitAreServedInCalm(t *testing.T) {
	d := startDeployment(t)
	g := startGateway(t, build(t), d.StoreAddress(), limits{memoryMB: smallSize.memoryMB})
	heads := map[string]string{
		"one long line": "X-Long: " + strings.Repeat("x", slowHeadBytes) + "\r\n",
		"many lines":    strings.Repeat("X-Line: "+strings.Repeat("x", 90)+"\r\n", slowHeadBytes/100),
	}
	for name, lines := range heads {
		if status, err := g.orderWith(lines); err != nil || status != 200 {
			t.Errorf("%s: %d, %v", name, status, err)
		}
	}
}
