package process

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of processor time in the process file system.
const clockTick = 10 * time.Millisecond

// Positions in the process file system's status line, behind the program's
// name in parentheses.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// CPU returns the processor time that the process has used.
func (p *Process) CPU() (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= fieldSystemTime {
		return 0, errors.New("status line of the process is too short")
	}
	user, err := strconv.ParseInt(fields[fieldUserTime], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "read user time")
	}
	system, err := strconv.ParseInt(fields[fieldSystemTime], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "read system time")
	}
	return time.Duration(user+system) * clockTick, nil
}

// ResidentBytes returns the resident memory of the process.
func (p *Process) ResidentBytes() (int64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/statm")
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.New("memory line of the process is too short")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "read resident pages")
	}
	return pages * int64(os.Getpagesize()), nil
}
