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
	// maxResidents bounds the requests that one death names, so that it fits
	// into a frame.
	maxResidents = 200
	// retainedDeaths is the number of deaths that are remembered for streams that
	// notice late.
	retainedDeaths = 8
)

// Deaths tells the deaths of the engine apart. Each death ends an epoch; the
// first stream that notices it names all requests that the engine was running.
type Deaths struct {
	Server wigeonfork.BackendServerID
	// Incarnation is that of the agent.
	Incarnation string
	Table       *session.Table

	mu            sync.Mutex
	epoch         uint64
	encodedDeaths map[uint64]string
}

// Epoch returns the number of deaths seen so far.
func (d *Deaths) Epoch() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.epoch
}

// Record returns the encoded quarantine.Death that ended the epoch of s. It is
// empty for a generation that the engine never took: that one only found the
// engine dead.
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
		death.Residents = append(death.Residents, quarantine.Resident{Key: quarantine.KeyOf(&request), Ran: ran})
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
