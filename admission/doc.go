// Package admission decides which requests start now, which wait and which are
// refused.
//
// Controller is a deterministic decision type: the time, the events and the
// seed are arguments, and it holds no goroutine, clock or socket. It is not
// safe for concurrent use.
//
// Capacity is shared between classes by weight, and within a class between
// workspaces by their weight, so that a large workspace cannot starve a small
// one. Resumes of interrupted answers go before new requests and may use a
// reserve that new requests may not. A request that cannot make its deadline is
// refused as soon as that is known.
package admission
