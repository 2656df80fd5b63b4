package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// subject is a process on which a crowd is let loose.
type subject struct {
	pid   int
	ended <-chan struct{}
	// order sends an ordinary caller's request through the system. It returns an error unless it is answered.
	order func() error
}

// listener is a listener of a subject.
type listener struct {
	name, address string
	// upload is the head of an upload that the listener takes, without its last lines.
	upload string
	// ordinary sends an ordinary request to the listener. It returns an error unless it is answered.
	ordinary func() error
}

// httpListener returns a listener that answers GET requests for path.
func httpListener(name, address, path string) listener {
	return listener{
		name: name, address: address, upload: "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n",
		ordinary: func() error { return get(address, path) },
	}
}

// get sends a GET request. It returns an error unless the answer's status is 200.
func get(address, path string) error {
	return statusError(exchange(address, "GET "+path+" HTTP/1.1\r\nHost: h.example\r\n\r\n"))
}

// exchange sends a request on a connection of its own, and returns the status of its answer once that has come whole.
func exchange(address, request string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(conn, request); err != nil {
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

// statusError returns err, or one for a status other than 200.
func statusError(status int, err error) error {
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

// requireAlive returns the number of descriptors of the process, which must live.
func (s *subject) requireAlive(t *testing.T) int {
	select {
	case <-s.ended:
		t.Fatal("the process has ended")
	default:
	}
	return s.descriptors(t)
}

func (s *subject) descriptors(t *testing.T) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	return len(entries)
}

// awaitDescriptors waits until the process has at most n descriptors.
func (s *subject) awaitDescriptors(t *testing.T, n int) {
	for end := time.Now().Add(patience); s.descriptors(t) > n; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d descriptors are open after the callers have left", s.descriptors(t))
		}
	}
}

// peakBytes returns the most resident memory that the process has had.
func (s *subject) peakBytes(t *testing.T) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.pid))
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

// requirePeak fails the test if the process has had more resident memory than maxFraction of its limit.
func (s *subject) requirePeak(t *testing.T, memoryMB, descriptors int) {
	peak := s.peakBytes(t)
	t.Logf("peak %.1f of %d MB; %d descriptors beside the callers", float64(peak)/(1<<20), memoryMB, descriptors)
	if float64(peak) > maxFraction*float64(memoryMB)*(1<<20) {
		t.Errorf("the peak of %.1f MB is above %.0f%% of the memory limit", float64(peak)/(1<<20), 100*maxFraction)
	}
}
