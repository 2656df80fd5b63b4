// Package admission decides whether a request starts, is queued or is refused.
//
// Controller is a deterministic decision type: the time, the events and the
// seed are arguments, and it holds no goroutine, clock or socket. It is not
// safe for concurrent use.
//
// Capacity is shared between classes by weight, and within a class between
// workspaces by weight, so that a large workspace cannot starve a small one.
// Resumes of interrupted answers start before new requests and may use a
// capacity reserve. A request that cannot meet its deadline is refused as soon
// as that is known.
package admission
