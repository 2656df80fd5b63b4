package gateway

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashExpiry is the time after the last crash for which a request counts as a
	// cause of crashes.
	crashExpiry = 60 * time.Second
	// maxCrashes is the number of servers that a request may crash before it is
	// refused.
	maxCrashes = 3
	// maxCrashRecords bounds the requests that are tracked.
	maxCrashRecords = 1024
)

// fingerprint identifies the content of a request. Requests that differ only in their
// id have the same one.
type fingerprint uint64

func fingerprintOf(host, target, workspace string, body []byte) fingerprint {
	h := xxhash.New()
	for _, part := range [...]string{host, target, workspace} {
		// Writes to a hash never fail.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return fingerprint(h.Sum64())
}

// bytes returns the fingerprint as it is logged.
func (f fingerprint) bytes() []byte { return binary.BigEndian.AppendUint64(nil, uint64(f)) }

// crashRecord counts the servers that crashed during one request.
type crashRecord struct {
	crashes int
	last    time.Time
}

// crashTracker counts, per request, the servers that crashed while they ran it.
type crashTracker struct {
	mu      sync.Mutex
	records map[fingerprint]*crashRecord
}

func newCrashTracker() *crashTracker {
	return &crashTracker{records: make(map[fingerprint]*crashRecord)}
}

// record records that a server crashed while it ran a request. It returns the number of
// crashes.
func (c *crashTracker) record(now time.Time, f fingerprint) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.records[f]
	if known == nil || now.Sub(known.last) > crashExpiry {
		c.evict(now)
		known = &crashRecord{}
		c.records[f] = known
	}
	known.crashes++
	known.last = now
	return known.crashes
}

// evict makes space for one record. It removes expired records first, then arbitrary
// ones.
func (c *crashTracker) evict(now time.Time) {
	if len(c.records) < maxCrashRecords {
		return
	}
	for f, known := range c.records {
		if now.Sub(known.last) > crashExpiry {
			delete(c.records, f)
		}
	}
	for f := range c.records {
		if len(c.records) < maxCrashRecords {
			return
		}
		delete(c.records, f)
	}
}

// clear removes the record of a request that completed.
func (c *crashTracker) clear(f fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.records, f)
}

// refused reports whether a request has crashed too many servers.
func (c *crashTracker) refused(now time.Time, f fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.records[f]
	return known != nil && known.crashes >= maxCrashes && now.Sub(known.last) <= crashExpiry
}
