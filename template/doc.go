// Package template defines the accepted configuration: templates with typed
// parameters, the deployments made from them, the checks that a change must
// pass, and an immutable Snapshot that a request is resolved against once.
//
// Values of this package are plain data. Nothing here keeps time, reads a
// clock or performs I/O.
package template
