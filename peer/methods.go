package peer

// The methods that processes serve to each other and to operators.
const (
	// MethodStatusSubscribe requests an agent's status. It also subscribes to notifications of
	// changes that cannot wait for the next poll.
	MethodStatusSubscribe = "status.subscribe"
	// MethodStatus notifies an entry of an agent's status.
	MethodStatus = "status"
	// MethodRefute tells an agent that one of its incarnations has ended.
	MethodRefute = "refute"
	// MethodQuarantine sends an entry the observations of another entry about requests that crash
	// engines.
	MethodQuarantine = "quarantine"
	// MethodRevision notifies a process of the state of the configuration.
	MethodRevision = "revision"
	// MethodOrder asks an agent to forward an order to its backend server.
	MethodOrder = "order"
	// MethodEvidence sends the evidence of one entry about a move to the entry that drives the
	// move.
	MethodEvidence = "evidence"
	// MethodDump asks a process for its state.
	MethodDump = "state.dump"
	// MethodDrain makes a process stop accepting requests and wait for those in progress, up to
	// its drain limit.
	MethodDrain = "drain"
)
