// Package store commits changes of the configuration to the platform's table and
// reads them back.
//
// The table is the source of truth. The row config/head holds the current
// revision. A change is one transaction that is conditional on this row. It
// writes the rows of the templates and deployments, a log row and the new head.
// Functions without I/O decide what a change writes. Store performs the writes,
// retries them if a response is lost, and reads. The object store holds payloads
// that are too large for a row, older log entries and snapshots of the state.
package store
