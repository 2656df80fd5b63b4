package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashMemory is how long a request counts as the cause of crashes after the
	// last of them.
	crashMemory = 60 * time.Second
	// maxCrashes is the number of servers that a request may crash before it is
	// refused.
	maxCrashes = 3
	// maxSuspects bounds the requests remembered.
	maxSuspects = 1024
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

// suspect is a request under which servers crashed.
type suspect struct {
	crashes int
	last    time.Time
}

// crashes counts the servers that crashed while they began to run a request.
type crashes struct {
	mu       sync.Mutex
	suspects map[fingerprint]*suspect
}

func newCrashes() *crashes {
	return &crashes{suspects: make(map[fingerprint]*suspect)}
}

// crashed records that a server crashed under a request that had not got far.
func (c *crashes) crashed(now time.Time, f fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.suspects[f]
	if known == nil || now.Sub(known.last) > crashMemory {
		c.makeRoom(now)
		known = &suspect{}
		c.suspects[f] = known
	}
	known.crashes++
	known.last = now
}

// makeRoom forgets requests whose last crash is long ago, or else any.
func (c *crashes) makeRoom(now time.Time) {
	if len(c.suspects) < maxSuspects {
		return
	}
	for f, known := range c.suspects {
		if now.Sub(known.last) > crashMemory {
			delete(c.suspects, f)
		}
	}
	for f := range c.suspects {
		if len(c.suspects) < maxSuspects {
			return
		}
		delete(c.suspects, f)
	}
}

// completed clears a request.
func (c *crashes) completed(f fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.suspects, f)
}

// refused tells whether a request has crashed too many servers.
func (c *crashes) refused(now time.Time, f fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.suspects[f]
	return known != nil && known.crashes >= maxCrashes && now.Sub(known.last) <= crashMemory
}
