package quarantine

import "time"

const (
	// askTimeout is the time after which a coordinator that has not answered is asked again.
	askTimeout = 60 * time.Millisecond
	// asksPerCoordinator is the number of requests without an answer after which the next coordinator is asked.
	asksPerCoordinator = 2
	// soleTrialServers is the number of servers lost under a request from which on no trial is made
	// without a coordinator's leave.
	soleTrialServers = 2
)

// TrialStep says what an entry that needs a trial must do next.
type TrialStep uint8

// The steps.
const (
	// StepAsk: ask the coordinator.
	StepAsk TrialStep = iota + 1
	// StepWait: wait for the answer, or to ask again.
	StepWait
	// StepRun: make the trial.
	StepRun
	// StepRefuse: the request is quarantined.
	StepRefuse
)

// TrialClient decides how an entry obtains a trial: which coordinator it asks, how often, and what it does if none
// answers. A request under which few servers were lost then runs without leave, so that a loss of the coordinators
// stops no sound request. Others go on asking.
//
// TrialClient is a deterministic decision type: times are arguments, and it does no I/O. It is not safe for
// concurrent use.
type TrialClient struct {
	coordinators int
	lostServers  int
	// coordinator is the one to ask, and asks the requests to it without an answer.
	coordinator, asks int
	// askAt is when to ask next.
	askAt time.Time
	// answered is set once a coordinator has answered.
	answered bool
	answer   TrialAnswer
}

// NewTrialClient returns a TrialClient for an entry that knows coordinators in order of preference.
func NewTrialClient(coordinators, lostServers int) *TrialClient {
	return &TrialClient{coordinators: coordinators, lostServers: lostServers}
}

// Next returns the next step. With StepAsk it names the coordinator to ask; with StepWait it says when to call Next
// again if no answer comes.
func (c *TrialClient) Next(now time.Time) (step TrialStep, coordinator int, at time.Time) {
	switch {
	case c.answer.Granted:
		return StepRun, c.coordinator, now
	case c.answer.Refused:
		return StepRefuse, c.coordinator, now
	case now.Before(c.askAt):
		return StepWait, c.coordinator, c.askAt
	}
	if c.asks >= asksPerCoordinator {
		c.coordinator, c.asks = c.coordinator+1, 0
	}
	if c.coordinator >= c.coordinators {
		if !c.answered && c.lostServers < soleTrialServers {
			return StepRun, c.coordinator, now
		}
		c.coordinator, c.asks = 0, 0
	}
	c.asks++
	c.askAt = now.Add(askTimeout)
	return StepAsk, c.coordinator, c.askAt
}

// Answered records an answer of a coordinator.
func (c *TrialClient) Answered(now time.Time, coordinator int, a TrialAnswer) {
	if coordinator != c.coordinator {
		return
	}
	c.answered, c.answer, c.asks = true, a, 0
	c.askAt = now.Add(a.RetryAfter)
}
