package admission

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/problem"
)

// Action is what a Decision asks for.
type Action uint8

// The actions. Exactly one Admit or Refuse follows each Queue, unless the
// request is withdrawn.
const (
	Admit Action = iota + 1
	Queue
	Refuse
)

var actionNames = [...]string{"none", "admit", "queue", "refuse"}

// String returns the name of a.
func (a Action) String() string {
	if int(a) >= len(actionNames) {
		return actionNames[0]
	}
	return actionNames[a]
}

// Reason tells why a request was refused.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonQueueFull: the bounded queue has no room.
	ReasonQueueFull
	// ReasonTooLate: the request cannot make its deadline.
	ReasonTooLate
	// ReasonWaitTooLong: the expected wait exceeds the bound of the class.
	ReasonWaitTooLong
	// ReasonDuplicate: a request with the same id is queued or running.
	ReasonDuplicate
)

var reasonNames = [...]string{"none", "queue full", "too late", "wait too long", "duplicate"}

// String returns the name of r.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return reasonNames[0]
	}
	return reasonNames[r]
}

// Request is what is offered.
type Request struct {
	ID        wigeonfork.RequestID
	Workspace wigeonfork.Workspace
	Class     wigeonfork.Class
	// Cost is the part of the capacity taken while running; 0 counts as 1.
	Cost float64
	// Deadline is the time by which the answer is due; zero means none.
	Deadline time.Time
	// Service is the expected running time; 0 takes what was learned.
	Service time.Duration
	// Resume marks the continuation of an interrupted answer.
	Resume bool
}

// Decision is the outcome for one request.
type Decision struct {
	ID     wigeonfork.RequestID
	Action Action
	Reason Reason
	// Resume tells that the request continues an answer that has begun.
	Resume bool
	// RetryAfter is when a refused request is worth sending again.
	RetryAfter time.Duration
	// ExpectedWait is the predicted time in the queue.
	ExpectedWait time.Duration
}

// Problem returns the typed error for a refusal, or nil.
func (d Decision) Problem() *problem.Error {
	if d.Action != Refuse {
		return nil
	}
	code := problem.CodeOverloaded
	if d.Reason == ReasonTooLate {
		code = problem.CodeTooLate
	}
	run, step := problem.RunNot, problem.StepAdmit
	if d.Resume {
		code, run, step = problem.CodeInterrupted, problem.RunUnknown, problem.StepResume
	}
	return problem.New(code, run, step, "refused: %s", d.Reason).
		For(d.ID).After(d.RetryAfter)
}

// ClassPolicy says how a class is treated.
type ClassPolicy struct {
	// Weight is the class's share of a contended capacity.
	Weight float64
	// MaxShare bounds the part of the capacity that the class may fill, so that
	// room for classes that must be prompt comes free quickly; 0 means 1.
	MaxShare float64
	// MaxWait bounds the time in the queue; 0 takes the default.
	MaxWait time.Duration
	// OverloadWait takes the place of MaxWait once the class has had requests
	// queued for a while without a break, so that a burst may wait and a lasting
	// overload is answered at once; 0 takes MaxWait.
	OverloadWait time.Duration
}

// Policy holds the treatment of each class.
type Policy [wigeonfork.NumClasses]ClassPolicy

// resumePriority puts every resume before every new request at an engine.
const resumePriority = 1000

// Priority is the priority of a request at an engine that honours priorities;
// higher goes first. An interrupted answer goes before all new requests.
func (p *Policy) Priority(class wigeonfork.Class, resume bool) int {
	if int(class) >= wigeonfork.NumClasses {
		class = wigeonfork.ClassUnknown
	}
	priority := int(p[class].Weight)
	if resume {
		priority += resumePriority
	}
	return priority
}

// RegnsamlerPolicy puts disbursements first, answers lookups promptly and lets
// drafts wait.
func RegnsamlerPolicy() Policy {
	p := defaultPolicy()
	p[wigeonfork.ClassDisbursement] = ClassPolicy{Weight: 16, MaxWait: 5 * time.Second}
	p[wigeonfork.ClassLookup] = ClassPolicy{Weight: 8, MaxWait: 2 * time.Second, OverloadWait: defaultOverloadWait}
	p[wigeonfork.ClassDraft] = ClassPolicy{Weight: 2, MaxShare: 0.9, MaxWait: 30 * time.Second}
	return p
}

// CairnmarkPolicy ranks narratives highest, certificates next and lookups
// lowest.
func CairnmarkPolicy() Policy {
	p := defaultPolicy()
	p[wigeonfork.ClassNarrative] = ClassPolicy{Weight: 16, MaxWait: 5 * time.Second, OverloadWait: defaultOverloadWait}
	p[wigeonfork.ClassCertificate] = ClassPolicy{Weight: 8, MaxWait: 5 * time.Second, OverloadWait: defaultOverloadWait}
	p[wigeonfork.ClassLookup] = ClassPolicy{Weight: 2, MaxShare: 0.9, MaxWait: 3 * time.Second}
	return p
}

func defaultPolicy() Policy {
	var p Policy
	for c := range p {
		p[c] = ClassPolicy{Weight: 1, MaxWait: defaultMaxWait}
	}
	return p
}

const (
	defaultMaxWait       = 5 * time.Second
	defaultResumeMaxWait = 10 * time.Second
	defaultQueueLimit    = 4096
	defaultOverloadWait  = 500 * time.Millisecond
	overloadAfter        = 2 * time.Second
	defaultReserve       = 0.05
	defaultOvercommit    = 1.15
	defaultService       = 5 * time.Second
	defaultRetrySpread   = 0.5
	minRetryAfter        = 500 * time.Millisecond
	maxRetryAfter        = time.Minute
	serviceSampleWeight  = 0.05
	minServicePrediction = time.Millisecond
)

// Options configures a Controller. Zero values take the defaults.
type Options struct {
	// Seed starts the sequence that spreads the retry-after times.
	Seed uint64
	// Capacity is the cost that may run at once.
	Capacity float64
	// Policy holds the classes' weights; all zero means equal weights.
	Policy Policy
	// QueueLimit bounds the queued requests over all classes.
	QueueLimit int
	// Reserve is the part of the capacity kept for resumes.
	Reserve float64
	// ResumeOvercommit is the part of the capacity that resumes may fill;
	// above 1 batches grow beyond their best size for as long as resumes need.
	ResumeOvercommit float64
	// ResumeMaxWait bounds the time a resume queues.
	ResumeMaxWait time.Duration
	// WorkspaceWeights gives the share of workspaces; absent ones have 1.
	WorkspaceWeights map[wigeonfork.Workspace]float64
	// RetrySpread is the part of a retry-after time that is random, 0 to 1.
	RetrySpread float64
}

func (o Options) withDefaults() Options {
	if o.Policy == (Policy{}) {
		o.Policy = defaultPolicy()
	}
	for c := range o.Policy {
		o.Policy[c] = o.Policy[c].withDefaults()
	}
	if o.QueueLimit <= 0 {
		o.QueueLimit = defaultQueueLimit
	}
	if o.Reserve <= 0 {
		o.Reserve = defaultReserve
	}
	if o.ResumeOvercommit <= 0 {
		o.ResumeOvercommit = defaultOvercommit
	}
	if o.ResumeMaxWait <= 0 {
		o.ResumeMaxWait = defaultResumeMaxWait
	}
	if o.RetrySpread <= 0 {
		o.RetrySpread = defaultRetrySpread
	}
	return o
}

func (p ClassPolicy) withDefaults() ClassPolicy {
	if p.Weight <= 0 {
		p.Weight = 1
	}
	if p.MaxShare <= 0 {
		p.MaxShare = 1
	}
	if p.MaxWait <= 0 {
		p.MaxWait = defaultMaxWait
	}
	if p.OverloadWait <= 0 {
		p.OverloadWait = p.MaxWait
	}
	return p
}
