package revision

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
)

// Fact is an irrevocable statement, such as the stop of a version. Of several
// facts with the same key the earliest is kept.
type Fact struct {
	Key    string            `json:"key" cbor:"1,keyasint"`
	At     time.Time         `json:"at" cbor:"2,keyasint"`
	Origin wigeonfork.HostID `json:"origin" cbor:"3,keyasint"`
	Value  []byte            `json:"value,omitempty" cbor:"4,keyasint,omitempty"`
}

// Limits on facts. MaxFacts, maxRetiredFacts and factsPerMessage are numbers of
// facts, the others are bytes.
const (
	MaxFacts          = 1024
	MaxFactBytes      = 1024
	maxRetiredFacts   = 4096
	factOverheadBytes = 32
	factsPerMessage   = 64
	factHashTimeSize  = 8
)

// ErrTooManyFacts is returned for a new fact above MaxFacts.
var ErrTooManyFacts = errors.New("too many facts that the configuration does not record yet")

// ErrFactTooLarge is returned for a fact above MaxFactBytes.
var ErrFactTooLarge = errors.New("fact is too large")

// facts is the set of known facts that the configuration does not record yet.
// Of a recorded fact it keeps only the time. A later fact with the same key, such
// as for a recreated deployment, is therefore accepted as a new one.
type facts struct {
	known        map[string]Fact
	retired      map[string]time.Time
	retiredOrder []string
	digest       uint64
}

func newFacts() facts {
	return facts{known: make(map[string]Fact), retired: make(map[string]time.Time)}
}

func (f *Fact) size() int { return len(f.Key) + len(f.Value) + len(f.Origin) + factOverheadBytes }

func (f *Fact) hash() uint64 {
	var at [factHashTimeSize]byte
	binary.BigEndian.PutUint64(at[:], uint64(f.At.UnixNano()))
	d := xxhash.New()
	// Writes to a hash never fail.
	_, _ = d.WriteString(f.Key)
	_, _ = d.Write(at[:])
	_, _ = d.WriteString(string(f.Origin))
	_, _ = d.Write(f.Value)
	return d.Sum64()
}

// before orders facts with the same key.
func (f *Fact) before(other *Fact) bool {
	return cmp.Or(
		f.At.Compare(other.At),
		cmp.Compare(f.Origin, other.Origin),
		bytes.Compare(f.Value, other.Value),
	) < 0
}

// add merges fact into the set. It reports whether the set changed and whether
// the key was new.
func (s *facts) add(fact Fact) (changed, isNew bool, err error) {
	if fact.size() > MaxFactBytes {
		return false, false, ErrFactTooLarge
	}
	if at, isRetired := s.retired[fact.Key]; isRetired && !fact.At.After(at) {
		return false, false, nil
	}
	old, found := s.known[fact.Key]
	if found && !fact.before(&old) {
		return false, false, nil
	}
	if !found && len(s.known) >= MaxFacts {
		return false, false, ErrTooManyFacts
	}
	if found {
		s.digest ^= old.hash()
	}
	s.known[fact.Key] = fact
	s.digest ^= fact.hash()
	return true, !found, nil
}

// retire removes a fact that the installed configuration records.
func (s *facts) retire(key string) {
	old, found := s.known[key]
	if !found {
		return
	}
	s.digest ^= old.hash()
	delete(s.known, key)
	_, wasRetired := s.retired[key]
	s.retired[key] = old.At
	if wasRetired {
		return
	}
	s.retiredOrder = append(s.retiredOrder, key)
	if len(s.retiredOrder) > maxRetiredFacts {
		delete(s.retired, s.retiredOrder[0])
		s.retiredOrder = slices.Delete(s.retiredOrder, 0, 1)
	}
}

// list returns the facts in order of key.
func (s *facts) list() []Fact {
	if len(s.known) == 0 {
		return nil
	}
	all := make([]Fact, 0, len(s.known))
	for _, fact := range s.known {
		all = append(all, fact)
	}
	slices.SortFunc(all, func(a, b Fact) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// batch returns up to factsPerMessage facts. If there are more, offset selects
// the first one, and the facts wrap around in order of key.
func (s *facts) batch(offset uint64) []Fact {
	all := s.list()
	if len(all) <= factsPerMessage {
		return all
	}
	start := int(offset % uint64(len(all)))
	wrapped := append(slices.Clone(all[start:]), all[:start]...)
	return wrapped[:factsPerMessage]
}
