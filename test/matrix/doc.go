// Package matrix holds the fault matrix: each fault at each step, with real entries and agents
// behind fault-injecting proxies. It checks only what callers received and what the stand-ins ran.
// The package has only tests.
//
// Without arguments, the tests run the cells of CI. -args -full runs all cells, and
// -args -full -report also writes docs/FAULTS.md.
package matrix
