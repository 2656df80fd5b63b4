// Package routing chooses the backend server for a request.
//
// Router is a deterministic decision type: the time, the events and the seed
// are arguments, and it holds no goroutine, clock or socket. It is not safe for
// concurrent use; the owner guards it with a lock or gives each worker its own.
//
// A choice considers a bounded random sample of the servers that hold the
// requested version, and the servers that probably hold the prompt's prefix in
// their cache. Sampling bounds the cost of a choice. It also keeps entries that
// see the same stale load reports from sending all requests to one server.
package routing
