// Package resume measures how long an interrupted answer takes to resume, for each
// kind of loss, in an embedded system on loopback.
package resume

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonfork/wigeonfork/caller"
	"github.com/wigeonfork/wigeonfork/embedded"
	"github.com/wigeonfork/wigeonfork/entry/command"
	"github.com/wigeonfork/wigeonfork/experiment/report"
	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// Targets set by the users for an interruption.
const (
	boundP99            = 2000.0 // milliseconds, any loss
	boundDetectedMedian = 300.0  // milliseconds, a death that the agent detects
)

// Sizes of the experiment.
const (
	engines          = 4
	minUsable        = 2
	tokensPerSecond  = 100
	maxTokens        = 80
	faultAfterEvents = 15
	rounds           = 25
	quickRounds      = 3
	timeout          = 30 * time.Second
	// parallelSystems is the number of systems measured at the same time.
	parallelSystems = 2
)

// Options describe a run.
type Options struct {
	// Quick runs few rounds, as a trial.
	Quick bool
	// CSV, if set, receives the rows as comma-separated values.
	CSV io.Writer
}

// Run measures all kinds of loss and returns the number of targets missed.
func Run(out io.Writer, options Options) (int, error) {
	r := report.New(out, options.CSV, "loss", "answers", "whole", "gap p50 ms", "gap p99 ms", "gap max ms",
		"detection p50 ms", "choice p50 ms", "first token p50 ms", "tokens again")
	count := rounds
	if options.Quick {
		count = quickRounds
	}
	kinds := losses()
	results := make([]*measurement, len(kinds))
	var group sync.WaitGroup
	failures := make(chan error, len(kinds))
	for worker := range parallelSystems {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := worker; i < len(kinds); i += parallelSystems {
				m, err := measure(kinds[i], count)
				if err != nil {
					failures <- errors.Wrap(err, kinds[i].name)
					return
				}
				results[i] = m
			}
		}()
	}
	group.Wait()
	close(failures)
	for err := range failures {
		return 0, err
	}
	for i, m := range results {
		m.report(r, kinds[i])
	}
	return r.Print()
}

// measurement holds the results of one kind of loss.
type measurement struct {
	answers, complete int
	gaps              *report.Samples // interruptions of the complete answers
	phases            [3]float64      // milliseconds: detection, choice of an engine, first token
	repeatedTokens    float64         // percent of the tokens relayed
}

func (m *measurement) report(r *report.Report, l loss) {
	r.Row(l.name, m.answers, m.complete, m.gaps.Millis(50), m.gaps.Millis(99), m.gaps.Millis(100),
		m.phases[0], m.phases[1], m.phases[2], fmt.Sprintf("%.2f%%", m.repeatedTokens))
	r.AtLeast(l.name+": whole answers", float64(m.complete), float64(m.answers), "")
	if m.complete == 0 {
		return
	}
	r.AtMost(l.name+": gap p99", m.gaps.Millis(99), boundP99, "ms")
	if l.detectedByAgent {
		r.AtMost(l.name+": gap p50", m.gaps.Millis(50), boundDetectedMedian, "ms")
	}
}

func measure(l loss, rounds int) (*measurement, error) {
	system, err := start()
	if err != nil {
		return nil, err
	}
	defer system.close()
	m := &measurement{gaps: report.NewSamples()}
	for round := range rounds {
		if err := m.round(system, l, round); err != nil {
			return nil, err
		}
	}
	m.readPhases(system.metrics)
	m.repeatedTokens = repeatedPercent(system, m.answers)
	return m, nil
}

// round streams one answer and injects one loss after faultAfterEvents events. The
// interruption is the longest time between two events.
func (m *measurement) round(system *faultySystem, l loss, round int) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	prompt := fmt.Sprintf("%s %d", l.name, round)
	request := caller.Request{Workspace: embedded.Workspace, Model: embedded.Model, Prompt: prompt, MaxTokens: maxTokens, Seed: uint64(round)}
	client := caller.Client{HTTP: http.DefaultClient}
	var entries []string
	for _, e := range system.Entries {
		entries = append(entries, e.Address)
	}
	target, events := -1, 0
	var gap time.Duration
	last := time.Now()
	text, _, err := client.Generate(ctx, entries, request, func(caller.Event) {
		now := time.Now()
		if events > 0 {
			gap = max(gap, now.Sub(last))
		}
		last = now
		if events++; events == faultAfterEvents {
			target = system.RunningEngine()
			l.inject(system, target)
		}
	})
	m.answers++
	if err == nil && text == expected(prompt, uint64(round)) {
		m.complete++
		m.gaps.Add(gap)
	}
	if target < 0 {
		return errors.New("no engine was running the answer")
	}
	if err := l.heal(system, target); err != nil {
		return err
	}
	// A backend server that fails repeatedly counts as flapping and becomes usable later.
	return system.WaitUsable(minUsable)
}

func expected(prompt string, seed uint64) string {
	var text strings.Builder
	for _, token := range engine.Answer(embedded.Model, embedded.Version, prompt, seed, maxTokens) {
		text.Write(token.Text)
	}
	return text.String()
}

// readPhases reads the median phases of an interruption, in milliseconds, from the
// entry that has resumed the most answers.
func (m *measurement) readPhases(entries []telemetry.Registry) {
	busiest := entries[0]
	for _, entry := range entries {
		if telemetry.Counter(entry, "relay.resumed").Count() > telemetry.Counter(busiest, "relay.resumed").Count() {
			busiest = entry
		}
	}
	for i, name := range []string{command.MetricDetection, command.MetricChoice, command.MetricFirstToken} {
		m.phases[i] = median(telemetry.Histogram(busiest, name))
	}
}

func median(h metrics.Histogram) float64 {
	return h.Percentile(0.5) / float64(time.Millisecond/time.Microsecond)
}

// repeatedPercent returns the tokens generated beyond those relayed, in percent of
// the tokens relayed.
func repeatedPercent(system *faultySystem, answers int) float64 {
	var generated uint64
	for _, e := range system.Standins.Engines {
		generated += e.TokensGenerated()
	}
	useful := 0.0
	for _, metrics := range system.metrics {
		useful += float64(telemetry.Counter(metrics, "relay.tokens").Count())
	}
	if useful == 0 || answers == 0 {
		return 0
	}
	return max(0, (float64(generated)/useful-1)*100)
}
