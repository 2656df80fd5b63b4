// Package store accepts changes of the configuration through the platform's
// table and reads them back.
//
// The table is the source of truth. The row config/head holds the present
// revision; a change is one transaction that is conditional on it and writes
// the rows of the templates and deployments, a row of the log and the new
// head. What a change does is decided by functions without I/O; Store only
// carries the decision out, repeats it where an answer was lost, and reads.
// Payloads too large for a row, older log entries and whole states are kept
// in the object store.
package store
