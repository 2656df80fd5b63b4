package hostile

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/embedded"
	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/test/process"
	"github.com/wigeonfork/wigeonfork/test/realsystem"
)

func buildDaemons(t *testing.T) *process.Binaries {
	binaries, err := process.Build()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = binaries.Remove() })
	return binaries
}

// startDaemons starts an entry and an agent, both with the limits.
func startDaemons(t *testing.T, binaries *process.Binaries, of limits) *realsystem.System {
	s, err := realsystem.Start(realsystem.Options{
		Binaries: binaries, Engines: make([]engine.Options, 1),
		Environment: []string{
			fmt.Sprintf("WIGEON_MEMORY_LIMIT_MB=%d", of.memoryMB),
			fmt.Sprintf("WIGEON_MAX_DESCRIPTORS=%d", of.descriptors),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// subjectOf returns a process of the system as a subject.
func subjectOf(s *realsystem.System, p *process.Process) *subject {
	return &subject{pid: p.PID(), ended: p.Ended(), order: func() error { return statusError(orderBody(s.Entries[0].ServeAddress, "", "")) }}
}

func entryListeners(s *realsystem.System) []listener {
	e := s.Entries[0]
	return []listener{
		{
			name: "callers", address: e.ServeAddress, ordinary: subjectOf(s, e.Process).order,
			upload: "POST /v1/completions HTTP/1.1\r\nHost: h.example\r\nX-Workspace: " + string(embedded.Workspace) + "\r\n",
		},
		controlListener(e.Process),
		httpListener("metrics", e.MetricsAddress, "/metrics"),
	}
}

func agentListeners(s *realsystem.System) []listener {
	a := s.Agents[0]
	return []listener{
		{
			name: "entries", address: a.ServeAddress, ordinary: subjectOf(s, a.Process).order,
			upload: "POST " + agentapi.PathGenerate + " HTTP/1.1\r\nHost: h.example\r\n",
		},
		controlListener(a.Process),
		httpListener("metrics", a.MetricsAddress, "/metrics"),
	}
}

func controlListener(p *process.Process) listener {
	return listener{name: "control", address: p.ControlAddress, ordinary: func() error { return dump(p.ControlAddress) }}
}

// dump reads the state dump of a process. One attempt has a time limit of its own.
func dump(address string) error {
	var raw json.RawMessage
	err := realsystem.Dump(address, &raw)
	for end := time.Now().Add(patience); err != nil && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		err = realsystem.Dump(address, &raw)
	}
	return err
}

// orderBody sends an ordinary request to an entry, with more lines in its head and more bytes in its body, and returns the
// status of its answer.
func orderBody(address, lines, padding string) (int, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"ordinary","max_tokens":4,"seed":1%s}`, embedded.Model, padding)
	return exchange(address, fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: h.example\r\nX-Workspace: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		embedded.Workspace, lines, len(body), body))
}

// TestEntryServesRequestsInsideItsLimitsInCalm guards against limits that refuse a single request that the API allows.
func TestEntryServesRequestsInsideItsLimitsInCalm(t *testing.T) {
	s := startDaemons(t, buildDaemons(t), limits{memoryMB: smallSize.memoryMB, descriptors: maxDescriptors})
	entry := s.Entries[0].ServeAddress
	cases := map[string]struct{ lines, padding string }{
		"one long line in the head": {lines: "X-Long: " + strings.Repeat("x", 30_000) + "\r\n"},
		"short lines in the head":   {lines: manyShortLines(30_000)},
		"a large body":              {padding: strings.Repeat(" ", 3_900_000)},
	}
	for name, c := range cases {
		if err := statusError(orderBody(entry, c.lines, c.padding)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// manyShortLines returns short lines that all differ, of about size bytes.
func manyShortLines(size int) string {
	var lines strings.Builder
	for n := 0; lines.Len() < size; n++ {
		fmt.Fprintf(&lines, "X%x: 1\r\n", n)
	}
	return lines.String()
}
