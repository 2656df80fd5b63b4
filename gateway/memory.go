package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/memquota"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/upstream"
)

const (
	// crowdedHeadsFraction is a fraction of the quota. If heads hold more, the body of a refused request is not read, since the
	// head would be held meanwhile.
	crowdedHeadsFraction = 0.5
	// memoryRetry is the retry delay for callers whose body finds no room.
	memoryRetry = time.Second
)

// MemoryState is the usage of the memory quota in bytes, and how often each kind was refused.
type MemoryState struct {
	Limit   int64            `json:"limit_bytes"`
	Held    int64            `json:"held_bytes"`
	Peak    int64            `json:"peak_bytes"`
	ByKind  map[string]int64 `json:"held_bytes_by_kind"`
	Refused map[string]int64 `json:"refused_by_kind"`
}

func (g *Gateway) memoryState() MemoryState {
	usage := g.memory.Usage()
	state := MemoryState{Limit: usage.Limit, Held: usage.Used, Peak: usage.Peak, ByKind: make(map[string]int64), Refused: make(map[string]int64)}
	for _, kind := range memquota.Kinds() {
		state.ByKind[kind.String()], state.Refused[kind.String()] = usage.ByKind[kind], usage.Refused[kind]
	}
	return state
}

// headsCrowd reports whether the heads of callers hold more than crowdedHeadsFraction of the quota.
func (g *Gateway) headsCrowd() bool {
	usage := g.memory.Usage()
	return float64(usage.ByKind[memquota.CallerHead]) > crowdedHeadsFraction*float64(usage.Limit)
}

// bodyOwner returns who a body is counted for: the workspace, or on a public route the caller's address.
func (c *call) bodyOwner() string {
	if c.workspace != "" {
		return string(c.workspace)
	}
	host, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		return c.r.RemoteAddr
	}
	return host
}

// noRoomForBody returns the refusal of a request whose body would exceed the memory quota.
func (c *call) noRoomForBody(err error) *problem.Error {
	return problem.New(problem.CodeNoMemory, problem.RunNot, problem.StepAccept, "no room for the body").
		Because(err).After(c.jitter(memoryRetry))
}

// gatherAnswer reads the body of an answer.
func (c *call) gatherAnswer(response *upstream.Response, hold *memquota.Hold) (*memquota.Buffer, error) {
	length := response.ContentLength
	if c.r.Method == http.MethodHead {
		length = -1
	}
	return memquota.Gather(response.Body, length, maxAnswerBytes, hold)
}

// isOversized reports whether an answer was ended since it is larger than it may be. Its server has answered, so that it
// was not crashed by the request.
func isOversized(err error) bool {
	return errors.Is(err, memquota.ErrTooLarge) || errors.Is(err, memquota.ErrExceeded) || errors.Is(err, upstream.ErrHeadTooLarge)
}

// isCrowdedOut reports whether an answer was ended since there is no room beside what others hold, so that its server
// did not fail.
func isCrowdedOut(err error) bool {
	return errors.Is(err, memquota.ErrExceeded) && !errors.Is(err, memquota.ErrOwnerExceeded)
}
