// Package serverlimit decides how often the entries of a deployment may send to a backend server that names a limit
// on its requests, so that the server gets no more from all entries together.
//
// Table keeps which servers name a limit.
//
// Each limit is divided into equal shares, one for each known entry (Members). An entry delegates its share of the
// limits of a service to one entry at a time under a lease (Delegator). That grants single requests from all shares that
// it holds, wherever the demand is (Coordinator). A share that was delegated is delegated to no other entry until its
// lease has expired, so that the shares in use never sum to more than the limit: not while entries start, stop, freeze,
// or are cut off from each other or from the store. An entry that is its own coordinator uses its share by itself.
//
// ReturnSchedule spreads the callers that are refused.
//
// The types are deterministic decision types: times are arguments, and they do no I/O. Times are those of a clock that
// goes on while the host is suspended. They are not safe for concurrent use.
package serverlimit
