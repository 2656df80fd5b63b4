// Package relay measures what relaying costs.
package relay

import "io"

// Options describe a run.
type Options struct {
	Quick bool
	CSV   io.Writer
}

// Run is written next.
func Run(io.Writer, Options) (int, error) { return 0, nil }
