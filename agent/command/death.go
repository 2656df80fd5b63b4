package command

import (
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agent/session"
	"github.com/wigeonfork/wigeonfork/quarantine"
)

const (
	// maxResidents bounds the requests listed in one death, so that its encoding
	// fits into a frame.
	maxResidents = 200
	// retainedDeaths is the number of deaths that are kept for streams that detect
	// a death late.
	retainedDeaths = 8
)

// Deaths records the deaths of the engine. Each death ends an epoch, so that the
// streams of one epoch report the same death. The first stream that detects the
// death lists the requests that the engine was running.
type Deaths struct {
	Server wigeonfork.BackendServerID
	// Incarnation is the incarnation of the agent.
	Incarnation string
	Table       *session.Table

	mu            sync.Mutex
	epoch         uint64
	encodedDeaths map[uint64]string
}

// Epoch returns the number of deaths recorded so far.
func (d *Deaths) Epoch() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.epoch
}

// Record returns the CBOR-encoded quarantine.Death that ended the epoch of s, and
// ends the epoch if it is the current one. The result is empty for a generation
// that has ended or that the engine never accepted: the latter found the engine
// already dead and was not one of its requests.
func (d *Deaths) Record(s *session.Session, now time.Time) string {
	if _, running := s.RunDuration(now); !running {
		return ""
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.Epoch == d.epoch {
		d.endEpoch(now)
	}
	return d.encodedDeaths[s.Epoch]
}

// endEpoch records a death with the running requests of the current epoch and
// begins the next epoch. The caller holds d.mu.
func (d *Deaths) endEpoch(now time.Time) {
	death := quarantine.Death{
		ID: quarantine.DeathID{Server: d.Server, Incarnation: d.Incarnation + "/" + strconv.FormatUint(d.epoch, 10)},
	}
	for _, s := range d.Table.All() {
		ran, running := s.RunDuration(now)
		if s.Epoch != d.epoch || !running || len(death.Residents) == maxResidents {
			continue
		}
		request := s.Call.EngineRequest()
		death.Residents = append(death.Residents, quarantine.Resident{
			Key: quarantine.KeyOf(&request), Ran: ran, Decoded: s.DecodeDuration(now),
		})
	}
	if d.encodedDeaths == nil {
		d.encodedDeaths = map[uint64]string{}
	}
	if encoded, err := cbor.Marshal(death); err == nil {
		d.encodedDeaths[d.epoch] = string(encoded)
	}
	delete(d.encodedDeaths, d.epoch-retainedDeaths)
	d.epoch++
}
