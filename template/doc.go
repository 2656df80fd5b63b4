// Package template defines the accepted configuration: templates with typed
// parameters and the deployments that use them. It validates changes and
// provides an immutable Snapshot, against which each request is resolved once.
//
// The types of this package are plain data. The package starts no timers, reads
// no clock and performs no I/O.
package template
