// Package matrix holds the fault matrix: each fault at each step, with real
// entries and agents behind fault-injecting proxies, checked from the outside
// by what callers received and what the stand-ins ran. It has tests only.
//
// The tests without arguments run the cells that CI holds. -args -full runs all
// of them, and -args -full -report writes docs/FAULTS.md.
package matrix
