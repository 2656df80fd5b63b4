package capacity

import (
	"encoding/json"
	"time"

	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/quarantine"
)

// Names of the costs of telling other entries of an engine's death.
const (
	costShareCalls = "calls of an entry for an engine's death"
	costShareBytes = "call that tells of a death"
)

// shareFanout is the number of entries that an entry tells at each turn.
const shareFanout = 8

// sharing is a number of detectors that tell each other what is new, as the
// entries do: a few at each turn, each what it has not acknowledged.
type sharing struct {
	detectors []*quarantine.Detector
	cursors   [][]uint64
	turns     []int
	calls     int
}

func newSharing(entries int) *sharing {
	s := &sharing{turns: make([]int, entries)}
	for range entries {
		d := quarantine.New(quarantine.Options{})
		d.SetServerCount(designAgents)
		s.detectors = append(s.detectors, d)
		s.cursors = append(s.cursors, make([]uint64, entries))
	}
	return s
}

// turn lets every entry tell others, and reports whether any had news.
func (s *sharing) turn() bool {
	before := s.calls
	for i := range s.detectors {
		for j := range min(shareFanout, len(s.detectors)) {
			s.tell(i, (i+s.turns[i]+j)%len(s.detectors))
		}
		s.turns[i]++
	}
	return s.calls > before
}

func (s *sharing) tell(from, to int) {
	if from == to {
		return
	}
	message, cursor := s.detectors[from].Delta(s.cursors[from][to])
	if message.Empty() {
		return
	}
	s.calls++
	s.detectors[to].Merge(message)
	s.cursors[from][to] = cursor
}

// callsForDeath returns the calls of an entry until all know of one death and
// nobody has news.
func callsForDeath(entries int) float64 {
	s := newSharing(entries)
	s.detectors[0].EngineDied(began, deathOf(0, residents))
	quiet := 0
	for quiet <= entries {
		if s.turn() {
			quiet = 0
		} else {
			quiet++
		}
	}
	return float64(s.calls) / float64(entries)
}

// shared has the shape in which an entry tells another.
type shared struct {
	From    infra.Host         `json:"from"`
	Message quarantine.Message `json:"message"`
}

func measureShare(c *costs) {
	s := series{role: roleEntry, name: costShareCalls, unit: "calls", size: "entries", design: designEntries}
	c.bytes(s, []int{10, 30, 100, 200}, callsForDeath)
	s = series{role: roleEntry, name: costShareBytes, unit: "bytes", size: "requests that ran", design: residents}
	c.add(s, []int{4, residents, 2 * residents}, func(ran int) (float64, error) {
		death := quarantine.Death{At: began, ID: quarantine.DeathID{Server: serverID(0), Incarnation: "1"}}
		for i := range ran {
			death.Residents = append(death.Residents, quarantine.Resident{Key: keyOf(i), Ran: time.Second})
		}
		data, err := json.Marshal(shared{From: hosts(1)[0], Message: quarantine.Message{Deaths: []quarantine.Death{death}}})
		return float64(len(data)), err
	})
}
