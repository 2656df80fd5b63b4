package process

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Indexes of the fields of /proc/PID/stat after the program name in parentheses.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// CPU returns the user and system time that the process has used.
func (p *Process) CPU() (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= fieldSystemTime {
		return 0, errors.New("/proc/PID/stat has too few fields")
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

// ResidentBytes returns the resident set size of the process.
func (p *Process) ResidentBytes() (int64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/statm")
	if err != nil {
		return 0, errors.Wrap(err, "read memory usage")
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.New("/proc/PID/statm has too few fields")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "read resident pages")
	}
	return pages * int64(os.Getpagesize()), nil
}
