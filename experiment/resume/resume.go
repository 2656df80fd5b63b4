// Package resume measures how long an interrupted answer takes to go on, for
// each kind of loss, over an embedded system on loopback.
package resume

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
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

// The users' bounds on an interruption.
const (
	boundP99       = 2000.0 // milliseconds, any loss
	boundMedianHot = 300.0  // milliseconds, a death that the agent sees
)

// Sizes of the experiment.
const (
	engines          = 4
	tokensPerSecond  = 100
	maxTokens        = 80
	faultAfterEvents = 15
	rounds           = 25
	quickRounds      = 3
	timeout          = 30 * time.Second
)

// Options describe a run.
type Options struct {
	// Quick runs few rounds, to try the experiment out.
	Quick bool
	CSV   io.Writer
}

// loss is one kind of loss.
type loss struct {
	name string
	// seen tells that the agent sees the engine's death.
	seen   bool
	strike func(s *embedded.System, engine int)
	heal   func(s *embedded.System, engine int) error
}

func losses() []loss {
	return []loss{
		{
			name:   "engine death",
			seen:   true,
			strike: func(s *embedded.System, i int) { s.World.Engines[i].Kill() },
			heal:   func(s *embedded.System, i int) error { return s.World.Engines[i].Restart() },
		},
		{
			name:   "agent death",
			strike: func(s *embedded.System, i int) { s.Agents[i].Process.Stop() },
			heal:   func(s *embedded.System, i int) error { return s.ReplaceAgent(i) },
		},
		{
			name: "host death",
			strike: func(s *embedded.System, i int) {
				s.World.Engines[i].Kill()
				s.Agents[i].Process.Stop()
			},
			heal: func(s *embedded.System, i int) error {
				return errors.CombineErrors(s.World.Engines[i].Restart(), s.ReplaceAgent(i))
			},
		},
		{
			name:   "engine pause",
			strike: func(s *embedded.System, i int) { s.World.Engines[i].Pause() },
			heal:   func(s *embedded.System, i int) error { s.World.Engines[i].Continue(); return nil },
		},
		{
			name: "engine stuck",
			strike: func(s *embedded.System, i int) {
				s.World.Engines[i].Update(func(o *engine.Options) { o.Stuck = true })
			},
			heal: func(s *embedded.System, i int) error {
				s.World.Engines[i].Update(func(o *engine.Options) { o.Stuck = false })
				return nil
			},
		},
	}
}

// Run measures all kinds of loss and returns the number of targets missed.
func Run(out io.Writer, options Options) (int, error) {
	r := report.New(out, options.CSV, "loss", "answers", "whole", "gap p50 ms", "gap p99 ms", "gap max ms",
		"detection p50 ms", "choice p50 ms", "first token p50 ms", "tokens again")
	count := rounds
	if options.Quick {
		count = quickRounds
	}
	for _, l := range losses() {
		m, err := measure(l, count)
		if err != nil {
			return 0, errors.Wrap(err, l.name)
		}
		m.report(r, l)
	}
	return r.Print()
}

// measurement is what was seen of one kind of loss.
type measurement struct {
	answers, whole int
	gaps           *report.Samples
	parts          [3]float64
	again          float64
}

func (m *measurement) report(r *report.Report, l loss) {
	r.Row(l.name, m.answers, m.whole, m.gaps.Millis(50), m.gaps.Millis(99), m.gaps.Millis(100),
		m.parts[0], m.parts[1], m.parts[2], fmt.Sprintf("%.2f%%", m.again))
	r.AtLeast(l.name+": whole answers", float64(m.whole), float64(m.answers), "")
	r.AtMost(l.name+": gap p99", m.gaps.Millis(99), boundP99, "ms")
	if l.seen {
		r.AtMost(l.name+": gap p50", m.gaps.Millis(50), boundMedianHot, "ms")
	}
}

func measure(l loss, rounds int) (*measurement, error) {
	options := embedded.Options{}
	for range engines {
		options.Engines = append(options.Engines, engine.Options{TokensPerSecond: tokensPerSecond, BufferFor: time.Minute})
	}
	system, err := embedded.Start(options)
	if err != nil {
		return nil, err
	}
	defer system.Close()
	m := &measurement{gaps: report.NewSamples()}
	for round := range rounds {
		if err := m.round(system, l, round); err != nil {
			return nil, err
		}
	}
	m.readParts(system.Entries[0].Metrics)
	m.again = tokensAgain(system, m.answers)
	return m, nil
}

// round streams one answer with one loss in its middle. The interruption is
// the longest time between two events.
func (m *measurement) round(system *embedded.System, l loss, round int) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	prompt := fmt.Sprintf("%s %d", l.name, round)
	request := caller.Request{Workspace: embedded.Workspace, Model: embedded.Model, Prompt: prompt, MaxTokens: maxTokens, Seed: uint64(round)}
	client := caller.Client{HTTP: http.DefaultClient}
	struck, events := -1, 0
	var gap time.Duration
	last := time.Now()
	text, _, err := client.Whole(ctx, []string{system.Entries[0].Address}, request, func(caller.Event) {
		now := time.Now()
		if events > 0 {
			gap = max(gap, now.Sub(last))
		}
		last = now
		if events++; events == faultAfterEvents {
			struck = system.RunningEngine()
			l.strike(system, struck)
		}
	})
	m.answers++
	if err == nil && text == expected(prompt, uint64(round)) {
		m.whole++
	}
	m.gaps.Add(gap)
	if struck < 0 {
		return errors.New("no engine was running the answer")
	}
	if err := l.heal(system, struck); err != nil {
		return err
	}
	return system.WaitReady()
}

func expected(prompt string, seed uint64) string {
	var text strings.Builder
	for _, token := range engine.Answer(embedded.Model, embedded.Version, prompt, seed, maxTokens) {
		text.Write(token.Text)
	}
	return text.String()
}

func (m *measurement) readParts(metrics telemetry.Registry) {
	for i, name := range []string{command.MetricDetection, command.MetricChoice, command.MetricFirstToken} {
		m.parts[i] = median(telemetry.Histogram(metrics, name))
	}
}

func median(h metrics.Histogram) float64 {
	return h.Percentile(0.5) / float64(time.Millisecond/time.Microsecond)
}

// tokensAgain returns the tokens generated beyond those of the answers, in
// percent.
func tokensAgain(system *embedded.System, answers int) float64 {
	var generated uint64
	for _, e := range system.World.Engines {
		generated += e.TokensGenerated()
	}
	useful := float64(telemetry.Counter(system.Entries[0].Metrics, "relay.tokens").Count())
	if useful == 0 || answers == 0 {
		return 0
	}
	return max(0, (float64(generated)/useful-1)*100)
}
