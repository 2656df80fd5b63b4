package hostile

import (
	"fmt"
	"strings"
	"testing"
)

// TestListenersServeLargeHeadsInCalm guards against shares that refuse a single request whose head is just inside the limit of its
// listener.
func TestListenersServeLargeHeadsInCalm(t *testing.T) {
	g := startGateway(t, build(t), startDeployment(t).StoreAddress(), smallListenerSize.limits)
	s := startDaemons(t, buildDaemons(t), smallListenerSize.limits)
	listeners := map[string]struct{ address, path string }{
		"balancer":       {g.balancer, "/ready"},
		"gateway":        {g.metrics, "/metrics"},
		"entry, callers": {s.Entries[0].ServeAddress, "/healthz"},
		"entry":          {s.Entries[0].MetricsAddress, "/metrics"},
		"agent, entries": {s.Agents[0].ServeAddress, "/"},
		"agent":          {s.Agents[0].MetricsAddress, "/metrics"},
	}
	heads := map[string]string{
		"one long line": "X-Long: " + strings.Repeat("x", 30_000) + "\r\n",
		"short lines":   manyShortLines(30_000),
	}
	for name, l := range listeners {
		expected, err := statusWith(l.address, l.path, "")
		if err != nil {
			t.Fatal(err)
		}
		for kind, lines := range heads {
			if status, err := statusWith(l.address, l.path, lines); err != nil || status != expected {
				t.Errorf("%s, %s: %d, %v; expected %d", name, kind, status, err, expected)
			}
		}
	}
}

// statusWith sends a GET request with more lines in its head, and returns the status of its answer.
func statusWith(address, path, lines string) (int, error) {
	return exchange(address, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h.example\r\n%s\r\n", path, lines))
}
