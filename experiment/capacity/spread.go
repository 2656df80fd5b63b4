package capacity

import (
	"io"

	"github.com/wigeonfork/wigeonfork/experiment/configuration"
)

const (
	// datagramBytes is the overhead of a message that experiment/configuration
	// counts in.
	datagramBytes = 64
	// revisionDesign is the usual encoded size of a revision message in bytes.
	revisionDesign = 100
	// segmentsPerNotice is a message and its acknowledgement.
	segmentsPerNotice = 2
)

// spread is what the spread of the configuration costs a process.
type spread struct {
	hosts     float64
	messages  float64 // sent a second
	payload   float64 // encoded bytes of a message
	processor float64 // us a second, without the connection
	reads     float64 // of the table a second, all processes together
	inForce   float64 // p99 in seconds
}

// measureSpread runs experiment/configuration at its smaller sizes and returns
// the figures of the largest of them at the usual rate of changes.
func measureSpread(seed uint64) (spread, error) {
	result, err := configuration.Run(io.Discard, configuration.Options{Seed: seed, Quick: true})
	if err != nil {
		return spread{}, err
	}
	var s spread
	for _, row := range result.Rows {
		if float64(row.Hosts) <= s.hosts {
			continue
		}
		s = spread{
			hosts: float64(row.Hosts), messages: row.Messages, payload: row.Bytes/row.Messages - datagramBytes,
			processor: row.Processor, reads: row.Reads, inForce: row.P99.Seconds(),
		}
	}
	return s, nil
}
