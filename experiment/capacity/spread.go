package capacity

import (
	"io"

	"github.com/wigeonfork/wigeonfork/experiment/configuration"
)

const (
	// datagramOverheadBytes is the overhead per message that
	// experiment/configuration includes in its byte counts.
	datagramOverheadBytes = 64
	// designRevisionBytes is the usual encoded size of a revision message in bytes.
	designRevisionBytes = 100
	// segmentsPerNotification counts a message and its acknowledgement.
	segmentsPerNotification = 2
)

// propagation is the cost of distributing configuration changes, per process
// unless stated otherwise.
type propagation struct {
	hosts       float64
	messages    float64 // a second, sent
	payload     float64 // encoded bytes per message
	processor   float64 // microseconds a second, without the connection
	reads       float64 // of the table, a second, of all processes
	installTime float64 // p99 of the installation time in seconds
}

// measurePropagation runs experiment/configuration in quick mode and returns the
// figures of the largest size at the mean rate of changes.
func measurePropagation(seed uint64) (propagation, error) {
	result, err := configuration.Run(io.Discard, configuration.Options{Seed: seed, Quick: true})
	if err != nil {
		return propagation{}, err
	}
	var s propagation
	for _, row := range result.Rows {
		if float64(row.Hosts) <= s.hosts {
			continue
		}
		s = propagation{
			hosts: float64(row.Hosts), messages: row.Messages, payload: row.Bytes/row.Messages - datagramOverheadBytes,
			processor: row.Processor, reads: row.Reads, installTime: row.P99.Seconds(),
		}
	}
	return s, nil
}
