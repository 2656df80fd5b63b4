// Package memquota counts the bytes that a process holds for others, and bounds them: heads and bodies of callers,
// answers that are gathered, unfinished events of streams. Neither callers nor backend servers can use up the memory of the process
// then, however much they send.
//
// A Quota is a deterministic decision type without network, clock or goroutine. It is safe for concurrent use.
package memquota

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// Kind is what bytes are held for. A kind with a higher ceiling may use memory that the ones before it leave free, so that
// new requests are refused before answers under way end.
type Kind uint8

// The kinds.
const (
	// CallerBody is the body of a caller's request.
	CallerBody Kind = iota
	// ServerAnswer is an answer that is gathered until it is complete.
	ServerAnswer
	// StreamPart is what is kept of an unfinished event of a stream, or of a large head.
	StreamPart
	// CallerHead is the head of a caller's request, from its first byte to the end of the request.
	CallerHead
	kinds
)

var kindNames = [kinds]string{"caller_body", "server_answer", "stream_part", "caller_head"}

// String returns the name of k.
func (k Kind) String() string { return kindNames[k] }

// Kinds lists all kinds.
func Kinds() []Kind { return []Kind{CallerBody, ServerAnswer, StreamPart, CallerHead} }

// ceilings are the fractions of a quota up to which each kind may fill it.
var ceilings = [kinds]float64{CallerBody: 0.6, ServerAnswer: 0.85, StreamPart: 1, CallerHead: 0.85}

// ownerFactor bounds the bytes of one owner: they may be ownerFactor times those that are left free below the ceiling. An
// owner that is alone thus gets two thirds, and of many each gets less, so that none takes it all (dynamic thresholds, as
// for the queues of a shared-memory switch).
const ownerFactor = 2

// SmallBytes is the part of each Hold, in bytes, that may use the whole quota whatever else is held. Ordinary requests
// are no larger, so that they go on beside those that fill the rest.
const SmallBytes = 16 << 10

// ErrExceeded means that there is no room for more bytes. ErrOwnerExceeded is its cause if that is so because of the owner
// itself, which holds its part already.
var (
	ErrExceeded      = errors.New("the process holds too many bytes")
	ErrOwnerExceeded = errors.Wrap(ErrExceeded, "one owner")
)

// owner is who caused bytes to be held.
type owner struct {
	kind Kind
	name string
}

// Quota bounds the bytes that are held.
type Quota struct {
	limit int64

	mu      sync.Mutex
	used    int64
	byKind  [kinds]int64
	byOwner map[owner]int64
	peak    int64
	refused [kinds]int64
}

// New returns a Quota of limit bytes.
func New(limit int64) *Quota {
	return &Quota{limit: limit, byOwner: make(map[owner]int64)}
}

// Usage describes a quota at one moment. Peak is the most bytes that were held, and Refused counts what was refused.
type Usage struct {
	Limit, Used, Peak int64
	ByKind            map[Kind]int64
	Refused           map[Kind]int64
}

// Usage returns the present usage.
func (q *Quota) Usage() Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	u := Usage{Limit: q.limit, Used: q.used, Peak: q.peak, ByKind: make(map[Kind]int64), Refused: make(map[Kind]int64)}
	for _, kind := range Kinds() {
		u.ByKind[kind], u.Refused[kind] = q.byKind[kind], q.refused[kind]
	}
	return u
}

// Owners returns the number of owners that hold bytes.
func (q *Quota) Owners() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.byOwner)
}

// take counts n bytes for an owner, of a Hold that has size bytes then. It returns ErrExceeded, without counting any, if
// there is no room.
func (q *Quota) take(o owner, n, size int64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.check(o, n, size); err != nil {
		q.refused[o.kind]++
		return err
	}
	q.used += n
	q.byKind[o.kind] += n
	q.byOwner[o] += n
	q.peak = max(q.peak, q.used)
	return nil
}

// check returns nil if there is room. The lock must be held.
func (q *Quota) check(o owner, n, size int64) error {
	if size <= SmallBytes {
		if q.used+n > q.limit {
			return ErrExceeded
		}
		return nil
	}
	free := int64(ceilings[o.kind]*float64(q.limit)) - q.used - n
	switch {
	case (q.byOwner[o]+n)/ownerFactor > max(free, 0) && q.byOwner[o] > 0:
		return ErrOwnerExceeded
	case free < 0 || n/ownerFactor > free:
		return ErrExceeded
	}
	return nil
}

func (q *Quota) release(o owner, n int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used -= n
	q.byKind[o.kind] -= n
	if q.byOwner[o] -= n; q.byOwner[o] <= 0 {
		delete(q.byOwner, o)
	}
}

// Hold counts the bytes that are held for one purpose. Its methods may be called concurrently, and on a nil Hold, which
// is unbounded.
type Hold struct {
	quota *Quota
	owner owner

	mu    sync.Mutex
	bytes int64
	ended bool
}

// Begin returns a Hold without bytes. The owner is who sends them: a workspace or a backend server.
func (q *Quota) Begin(kind Kind, ownerName string) *Hold {
	return &Hold{quota: q, owner: owner{kind, ownerName}}
}

// Grow counts n more bytes, before they are held. It returns ErrExceeded if there is no room for them or the Hold has
// ended; the bytes counted before stay so.
func (h *Hold) Grow(n int64) error {
	if h == nil || n <= 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return ErrExceeded
	}
	if err := h.quota.take(h.owner, n, h.bytes+n); err != nil {
		return err
	}
	h.bytes += n
	return nil
}

// End releases all bytes. Later calls have no effect.
func (h *Hold) End() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	h.ended = true
	h.quota.release(h.owner, h.bytes)
}

// Group ends several holds together. Its methods may be called concurrently.
type Group struct {
	quota *Quota

	mu    sync.Mutex
	holds []*Hold
	ended bool
}

// NewGroup returns an empty Group.
func (q *Quota) NewGroup() *Group { return &Group{quota: q} }

// Begin is Quota.Begin for a Hold that ends with the group at the latest. A Hold of a group that has ended can't grow.
func (g *Group) Begin(kind Kind, ownerName string) *Hold {
	h := g.quota.Begin(kind, ownerName)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		h.End()
		return h
	}
	g.holds = append(g.holds, h)
	return h
}

// End ends all holds of the group.
func (g *Group) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	for _, h := range g.holds {
		h.End()
	}
	g.holds = nil
}
