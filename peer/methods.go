package peer

// The methods that processes serve to each other and to operators.
const (
	// MethodStatusSubscribe asks an agent for its status, and for a notification
	// of each change that can't wait for the next poll.
	MethodStatusSubscribe = "status.subscribe"
	// MethodStatus notifies an entry of an agent's status.
	MethodStatus = "status"
	// MethodRefute tells an agent that an incarnation of it was given up.
	MethodRefute = "refute"
	// MethodQuarantine notifies an entry of what another learned of requests that
	// crash engines.
	MethodQuarantine = "quarantine"
	// MethodRevision notifies a process of the spread of the configuration.
	MethodRevision = "revision"
	// MethodOrder asks an agent to pass an order to its backend server.
	MethodOrder = "order"
	// MethodEvidence tells the entry that drives a move what another one saw.
	MethodEvidence = "evidence"
	// MethodDump asks a process for its state.
	MethodDump = "state.dump"
	// MethodDrain makes a process leave without cutting a request.
	MethodDrain = "drain"
)
