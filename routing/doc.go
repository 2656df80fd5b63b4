// Package routing chooses the backend server for a request.
//
// Router is a deterministic decision type: the time, the events and the seed
// are arguments, and it holds no goroutine, clock or socket. It is not safe for
// concurrent use; its owner guards it with a lock or gives each worker its own.
//
// A choice looks at a bounded random sample of the servers that hold the
// wanted version, and at the servers believed to hold the prompt's prefix in
// their cache. Sampling bounds the cost of a choice and keeps many entries that
// see the same lagging reports from sending all their work to one server.
package routing
