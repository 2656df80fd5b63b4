package matrix

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/wigeonfork/wigeonfork/test/process"
)

// The flags of the matrix. They are passed after -args.
var (
	full        = flag.Bool("full", false, "run all cells, not only those that CI runs")
	seed        = flag.Int64("seed", 1, "seed of the random choices: sizes of cuts, seeds of answers")
	writeReport = flag.Bool("report", false, "write docs/FAULTS.md; needs -full")
	cellFilter  = flag.String("cell", "", "run only the cells whose name, \"=step / fault\", contains this text")
	parallel    = flag.Int("at-once", 4, "number of cells that run concurrently")
	limit       = flag.Duration("limit", 0, "start no cell after this time; 0 sets no limit")
	raceBuild   = flag.Bool("race-daemons", false, "build the daemons with the race detector")
)

// binaries are the daemons under test.
var binaries *process.Binaries

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	var arguments []string
	if *raceBuild {
		arguments = append(arguments, "-race")
	}
	var err error
	if binaries, err = process.Build(arguments...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	code := m.Run()
	if err := binaries.Remove(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return code
}
