// Package matrix holds the fault matrix. A cell of the matrix injects one fault, or several at
// once, at one step of a request or of a change of the configuration. Real entries and agents run
// behind fault-injecting proxies. It checks only what callers received and what the stand-ins ran.
// The package has only tests.
//
// Without arguments, the tests run the cells of CI. -args -full runs all cells, and
// -args -full -report also writes docs/FAULTS.md.
package matrix
