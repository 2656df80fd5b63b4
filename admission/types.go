package admission

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/problem"
)

// Action is the kind of a Decision.
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

// Reason is the reason for a refusal.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonQueueFull: the queue is at its limit.
	ReasonQueueFull
	// ReasonTooLate: the request cannot meet its deadline.
	ReasonTooLate
	// ReasonWaitTooLong: the wait exceeds the bound of the class or of resumes.
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

// Request describes a request that asks for admission.
type Request struct {
	ID        wigeonfork.RequestID
	Workspace wigeonfork.Workspace
	Class     wigeonfork.Class
	// Cost is the capacity that the request takes while it runs, in the unit of
	// Options.Capacity; 0 means 1.
	Cost float64
	// Deadline is the time by which the answer is due; zero means none.
	Deadline time.Time
	// Service is the expected running time; 0 means the measured mean of the class.
	Service time.Duration
	// Resume marks the continuation of an interrupted answer.
	Resume bool
}

// Decision is the outcome for one request.
type Decision struct {
	ID     wigeonfork.RequestID
	Action Action
	Reason Reason
	// Resume is set for refusals of requests that continue an interrupted answer.
	Resume bool
	// RetryAfter is the delay after which a refused request may be sent again; 0 for
	// ReasonDuplicate.
	RetryAfter time.Duration
	// ExpectedWait is the predicted time in the queue.
	ExpectedWait time.Duration
}

// Problem returns the error for a refusal, and nil for other actions.
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

// ClassPolicy configures the share and the waiting times of a class.
type ClassPolicy struct {
	// Weight is the class's relative share of contended capacity.
	Weight float64
	// MaxShare bounds the fraction of the capacity that the class may use, so that
	// capacity for latency-sensitive classes frees up quickly; 0 means 1.
	MaxShare float64
	// MaxWait bounds the time in the queue; 0 means the default.
	MaxWait time.Duration
	// OverloadWait replaces MaxWait once the class has had queued requests
	// continuously for overloadAfter. A burst may wait, while requests in a lasting
	// overload are refused early; 0 means MaxWait.
	OverloadWait time.Duration
}

// Policy holds the policy of each class.
type Policy [wigeonfork.NumClasses]ClassPolicy

// resumePriority ranks every resume above all new requests at an engine.
const resumePriority = 1000

// Priority returns the priority of a request at an engine that supports
// priorities; higher runs first. Resumes rank above all new requests.
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

// RegnsamlerPolicy is the policy of the Regnsamler workload. It ranks
// disbursements highest, bounds the wait of lookups and lets drafts wait.
func RegnsamlerPolicy() Policy {
	p := defaultPolicy()
	p[wigeonfork.ClassDisbursement] = ClassPolicy{Weight: 16, MaxWait: 5 * time.Second}
	p[wigeonfork.ClassLookup] = ClassPolicy{Weight: 8, MaxWait: 2 * time.Second, OverloadWait: defaultOverloadWait}
	p[wigeonfork.ClassDraft] = ClassPolicy{Weight: 2, MaxShare: 0.9, MaxWait: 30 * time.Second}
	return p
}

// CairnmarkPolicy is the policy of the Cairnmark workload. It ranks narratives
// highest, certificates next and lookups lowest.
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
	defaultReserve       = 0.05 // fraction of the capacity
	defaultOvercommit    = 1.15 // fraction of the capacity
	defaultService       = 5 * time.Second
	defaultRetrySpread   = 0.5 // fraction of the retry-after time
	minRetryAfter        = 500 * time.Millisecond
	maxRetryAfter        = time.Minute
	serviceSampleWeight  = 0.05             // weight of a sample in the mean running time
	minServicePrediction = time.Millisecond // used until a class has a mean
)

// Options configures a Controller. Zero values take the defaults.
type Options struct {
	// Seed seeds the random spread of the retry-after times.
	Seed uint64
	// Capacity is the total cost of the requests that may run at once.
	Capacity float64
	// Policy holds the class policies; the zero Policy gives equal weights.
	Policy Policy
	// QueueLimit bounds the queued requests of all classes; resumes are exempt.
	QueueLimit int
	// Reserve is the fraction of the capacity reserved for resumes.
	Reserve float64
	// ResumeOvercommit is the fraction of the capacity up to which resumes start.
	// Above 1, batches exceed their optimal size while there are resumes.
	ResumeOvercommit float64
	// ResumeMaxWait bounds the time that a resume is queued.
	ResumeMaxWait time.Duration
	// WorkspaceWeights holds the weights of workspaces; the default weight is 1.
	WorkspaceWeights map[wigeonfork.Workspace]float64
	// RetrySpread is the random fraction of a retry-after time, 0 to 1.
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
