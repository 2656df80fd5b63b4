package capacity

import (
	"encoding/json"
	"time"

	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/quarantine"
)

// Names of the costs of reporting an engine death to other entries.
const (
	costDeathReportCalls = "calls of an entry for an engine's death"
	costDeathReportBytes = "call that tells of a death"
)

// gossipFanout is the number of entries that an entry calls in each round.
const gossipFanout = 8

// gossip is a set of detectors that exchange updates as entries do. In each round a
// detector sends a few others the changes that they have not acknowledged.
type gossip struct {
	detectors []*quarantine.Detector
	cursors   [][]uint64 // by sender and receiver
	rounds    []int      // completed rounds by entry
	calls     int        // of all entries
}

func newGossip(entries int) *gossip {
	s := &gossip{rounds: make([]int, entries)}
	for range entries {
		d := quarantine.New(quarantine.Options{})
		d.SetServerCount(designAgents)
		s.detectors = append(s.detectors, d)
		s.cursors = append(s.cursors, make([]uint64, entries))
	}
	return s
}

// round makes every entry send its updates, and reports whether there were any.
func (s *gossip) round() bool {
	before := s.calls
	for i := range s.detectors {
		for j := range min(gossipFanout, len(s.detectors)) {
			s.send(i, (i+s.rounds[i]+j)%len(s.detectors))
		}
		s.rounds[i]++
	}
	return s.calls > before
}

func (s *gossip) send(from, to int) {
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

// callsPerDeath returns the mean number of calls of an entry until all entries know
// one death and none has an update left.
func callsPerDeath(entries int) float64 {
	s := newGossip(entries)
	s.detectors[0].EngineDied(startTime, deathOf(0, residentsPerEngine))
	idleRounds := 0
	for idleRounds <= entries {
		if s.round() {
			idleRounds = 0
		} else {
			idleRounds++
		}
	}
	return float64(s.calls) / float64(entries)
}

// gossipCall has the format of the updates that entries exchange.
type gossipCall struct {
	From    infra.Host         `json:"from"`
	Message quarantine.Message `json:"message"`
}

func measureGossip(c *costs) {
	s := series{role: roleEntry, name: costDeathReportCalls, unit: "calls", sizeUnit: "entries", designSize: designEntries}
	c.addCounted(s, []int{10, 30, 100, 200}, callsPerDeath)
	s = series{role: roleEntry, name: costDeathReportBytes, unit: "bytes", sizeUnit: "requests that ran", designSize: residentsPerEngine}
	c.add(s, []int{4, residentsPerEngine, 2 * residentsPerEngine}, func(requests int) (float64, error) {
		death := quarantine.Death{At: startTime, ID: quarantine.DeathID{Server: serverID(0), Incarnation: "1"}}
		for i := range requests {
			death.Residents = append(death.Residents, quarantine.Resident{Key: keyOf(i), Ran: time.Second})
		}
		data, err := json.Marshal(gossipCall{From: hosts(1)[0], Message: quarantine.Message{Deaths: []quarantine.Death{death}}})
		return float64(len(data)), err
	})
}
