// Command wigeon-experiment measures the system and its decisions. It prints the
// results beside their targets and exits with 1 if a target is missed.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/wigeonfork/wigeonfork/experiment/capacity"
	"github.com/wigeonfork/wigeonfork/experiment/configuration"
	"github.com/wigeonfork/wigeonfork/experiment/moves"
	"github.com/wigeonfork/wigeonfork/experiment/policy"
	"github.com/wigeonfork/wigeonfork/experiment/relay"
	"github.com/wigeonfork/wigeonfork/experiment/resume"
)

// options are the settings of every experiment.
type options struct {
	Quick bool   `long:"quick" description:"small sizes, for a trial run"`
	Seed  uint64 `long:"seed" description:"seed of the random sequences" default:"1"`
	CSV   string `long:"csv" description:"file to write the rows to"`

	Relay  relayCommand  `command:"relay" description:"cost of relaying tokens, on real daemons over stand-ins"`
	Resume resumeCommand `command:"resume" description:"time until an interrupted answer resumes, by kind of loss"`

	Policy        policyCommand        `command:"policy" description:"routing, limits and resumes under load and loss, in virtual time"`
	Moves         movesCommand         `command:"moves" description:"moves to good and bad versions, in virtual time"`
	Configuration configurationCommand `command:"configuration" description:"time until a change is in force, by number of processes, in virtual time"`
	Capacity      capacityCommand      `command:"capacity" description:"cost of each role at the design size, extrapolated from measured slopes"`
}

var settings options

// errTargetMissed is returned when a target is missed.
var errTargetMissed = errors.New("a target is missed")

// run creates the CSV file, if one is set, and runs an experiment. The experiment
// returns the number of missed targets. If there are any, run returns errTargetMissed.
func run(experiment func(out, csv io.Writer) (int, error)) error {
	var data io.Writer
	if settings.CSV != "" {
		file, err := os.Create(settings.CSV)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		data = file
	}
	missed, err := experiment(os.Stdout, data)
	if err != nil {
		return err
	}
	if missed > 0 {
		return errors.Wrapf(errTargetMissed, "%d", missed)
	}
	return nil
}

type relayCommand struct {
	Part    string `long:"part" description:"run only this part" choice:"latency" choice:"throughput" choice:"streams"`
	Streams int    `long:"streams" description:"open streams of the part streams" default:"4000"`
}

// Execute implements flags.Commander.
func (c *relayCommand) Execute([]string) error {
	return run(func(out, csv io.Writer) (int, error) {
		return relay.Run(out, relay.Options{Quick: settings.Quick, Part: relay.Part(c.Part), Streams: c.Streams, CSV: csv})
	})
}

type resumeCommand struct{}

// Execute implements flags.Commander.
func (*resumeCommand) Execute([]string) error {
	return run(func(out, csv io.Writer) (int, error) {
		return resume.Run(out, resume.Options{Quick: settings.Quick, CSV: csv})
	})
}

type policyCommand struct{}

// Execute implements flags.Commander.
func (*policyCommand) Execute([]string) error {
	return run(func(out, csv io.Writer) (int, error) {
		result, err := policy.Run(out, policy.Options{Seed: settings.Seed, Quick: settings.Quick, CSV: csv})
		return len(result.Missed), err
	})
}

type movesCommand struct {
	Count int `long:"count" description:"moves of each kind; 0 for the usual number"`
}

// Execute implements flags.Commander.
func (c *movesCommand) Execute([]string) error {
	return run(func(out, csv io.Writer) (int, error) {
		err := moves.Run(out, moves.Options{Seed: settings.Seed, Quick: settings.Quick, Moves: c.Count, CSV: csv})
		return 0, err
	})
}

type configurationCommand struct{}

// Execute implements flags.Commander.
func (*configurationCommand) Execute([]string) error {
	return run(func(out, csv io.Writer) (int, error) {
		result, err := configuration.Run(out, configuration.Options{Seed: settings.Seed, Quick: settings.Quick, CSV: csv})
		return result.Missed, err
	})
}

type capacityCommand struct{}

// Execute implements flags.Commander.
func (*capacityCommand) Execute([]string) error {
	return run(func(out, csv io.Writer) (int, error) {
		return capacity.Run(out, capacity.Options{Seed: settings.Seed, Quick: settings.Quick, CSV: csv})
	})
}

func main() {
	if _, err := flags.NewParser(&settings, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "wigeon-experiment:", err)
		os.Exit(1)
	}
}
