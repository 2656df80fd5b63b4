package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashExpiry is how long a request counts as the cause of crashes after the
	// last of them.
	crashExpiry = 60 * time.Second
	// maxCrashes is the number of servers that a request may crash before it is
	// refused.
	maxCrashes = 3
	// maxCrashRecords bounds the requests remembered.
	maxCrashRecords = 1024
)

// fingerprint names what a request asks for, whatever its id.
type fingerprint uint64

func fingerprintOf(host, target, workspace string, body []byte) fingerprint {
	h := xxhash.New()
	for _, part := range [...]string{host, target, workspace} {
		// A hash takes every write.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return fingerprint(h.Sum64())
}

// crashRecord is a request under which servers crashed.
type crashRecord struct {
	crashes int
	last    time.Time
}

// crashTracker counts the servers that crashed while they began to run a request.
type crashTracker struct {
	mu      sync.Mutex
	records map[fingerprint]*crashRecord
}

func newCrashTracker() *crashTracker {
	return &crashTracker{records: make(map[fingerprint]*crashRecord)}
}

// record records that a server record under a request that had not got far.
func (c *crashTracker) record(now time.Time, f fingerprint) {
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
}

// evict forgets requests whose last crash is long ago, or else any.
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

// clear clears a request.
func (c *crashTracker) clear(f fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.records, f)
}

// refused tells whether a request has crashed too many servers.
func (c *crashTracker) refused(now time.Time, f fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.records[f]
	return known != nil && known.crashes >= maxCrashes && now.Sub(known.last) <= crashExpiry
}
