package capacity

import (
	"io"

	"github.com/wigeonfork/wigeonfork/experiment/configuration"
)

const (
	// datagramOverheadBytes is the overhead of a message that experiment/configuration
	// counts in.
	datagramOverheadBytes = 64
	// designRevisionBytes is the usual encoded size of a revision message in bytes.
	designRevisionBytes = 100
	// segmentsPerNotification is a message and its acknowledgement.
	segmentsPerNotification = 2
)

// propagation is what the propagation of the configuration costs a process.
type propagation struct {
	hosts     float64
	messages  float64 // sent a second
	payload   float64 // encoded bytes of a message
	processor float64 // us a second, without the connection
	reads     float64 // of the table a second, all processes together
	inForce   float64 // p99 in seconds
}

// measurePropagation runs experiment/configuration at its smaller sizes and returns
// the figures of the largest of them at the usual rate of changes.
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
			processor: row.Processor, reads: row.Reads, inForce: row.P99.Seconds(),
		}
	}
	return s, nil
}
