// Package capacity measures the cost of the system's decisions, codecs and
// messages at several sizes in one process. It fits a line to each cost,
// extrapolates the memory, traffic and processor time of each role to the design
// size, and compares them with the users' bounds.
//
// Processor time covers the whole process, garbage collection included.
package capacity

import (
	"fmt"
	"io"

	"github.com/wigeonfork/wigeonfork/experiment/report"
)

// Options configure a run.
type Options struct {
	// Quick shortens the measurement of each cost.
	Quick bool
	// Seed seeds the random number generators.
	Seed uint64
	// CSV receives the measured costs if it is not nil.
	CSV io.Writer
}

// Run measures all costs and prints them with the figures derived from them. It
// returns the number of missed bounds.
func Run(w io.Writer, options Options) (missed int, err error) {
	c := &costs{meter: newMeter(options.Quick)}
	measureAll(c, options.Seed)
	if c.err != nil {
		return 0, c.err
	}
	s, err := measurePropagation(options.Seed)
	if err != nil {
		return 0, err
	}
	return write(w, options, c, s)
}

func measureAll(c *costs, seed uint64) {
	measureEntry(c)
	measureFleet(c)
	measureStreams(c)
	measureMessages(c)
	measureState(c)
	measureGossip(c)
	measureLedger(c)
	measureClaims(c, seed)
	measureHolder(c, seed)
	measureOperator(c)
}

func write(w io.Writer, options Options, c *costs, s propagation) (int, error) {
	list := allComponents(c, s)
	if err := writeComponents(w, list); err != nil {
		return 0, err
	}
	if err := writeClaims(w, estimateTableLoad(c, s).writes, options.Seed); err != nil {
		return 0, err
	}
	writeRates(w, c, s)
	r := report.New(w, options.CSV, columns...)
	for i := range c.all {
		c.all[i].addTo(r)
	}
	addTargets(r, c, s, list)
	return r.Print()
}

// writeRates prints the figures that have no bound.
func writeRates(w io.Writer, c *costs, s propagation) {
	lost := estimateDomainLoss(c)
	load := estimateTableLoad(c, s)
	starts := designRestartsPerDay / secondsPerDay
	fmt.Fprintf(w, "\ntable without claims: %.2f writes/s, %.1f reads/s\n", load.writes, load.reads)
	fmt.Fprintf(w, "spread measured at %.0f hosts: %.2f messages of %.0f bytes a host and s, p99 in force %.2f s\n",
		s.hosts, s.messages, s.payload, s.installTime)
	fmt.Fprintf(w, "open answers: %.0f, %.0f an entry, %.0f an agent, %.0f tokens held by one on average\n",
		openStreams, streamsPerEntry, streamsPerAgent, heldTokens())
	fmt.Fprintf(w, "loss of a domain: %.0f resumes at an entry at once, %.4f s of a core, %.0f bytes of calls\n",
		lost.resumesPerEntry, lost.entrySeconds, lost.entryBytes)
	fmt.Fprintf(w, "restarts: %.4f/s, each brings the whole configuration of %.0f bytes: %.0f bytes/s in all\n\n",
		starts, c.atDesign(costStateBytes), starts*c.atDesign(costStateBytes))
}
