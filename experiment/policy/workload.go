package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/admission"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/routing"
)

// kind describes the requests of one class.
type kind struct {
	class    wigeonfork.Class
	share    float64 // of the requests
	prompt   int     // mean tokens
	output   int     // mean tokens
	deadline time.Duration
}

// deployment describes one user's backend servers and requests.
type deployment struct {
	name       string
	engines    int
	entries    int
	policy     admission.Policy
	kinds      []kind
	workspaces int
	// prompt are the classes that must be answered promptly at any load.
	prompt []wigeonfork.Class
}

func regnsamler() deployment {
	return deployment{
		name: "regnsamler", engines: 25, entries: 3, workspaces: 10,
		policy: admission.RegnsamlerPolicy(),
		kinds: []kind{
			{class: wigeonfork.ClassLookup, share: 0.60, prompt: 400, output: 60, deadline: 15 * time.Second},
			{class: wigeonfork.ClassDraft, share: 0.35, prompt: 1500, output: 500},
			{class: wigeonfork.ClassDisbursement, share: 0.05, prompt: 300, output: 40, deadline: 15 * time.Second},
		},
		prompt: []wigeonfork.Class{wigeonfork.ClassLookup, wigeonfork.ClassDisbursement},
	}
}

func cairnmark() deployment {
	return deployment{
		name: "cairnmark", engines: 35, entries: 3, workspaces: 10,
		policy: admission.CairnmarkPolicy(),
		kinds: []kind{
			{class: wigeonfork.ClassNarrative, share: 0.45, prompt: 2500, output: 600},
			{class: wigeonfork.ClassCertificate, share: 0.10, prompt: 500, output: 80, deadline: 15 * time.Second},
			{class: wigeonfork.ClassLookup, share: 0.45, prompt: 400, output: 60, deadline: 15 * time.Second},
		},
		prompt: []wigeonfork.Class{wigeonfork.ClassNarrative, wigeonfork.ClassCertificate},
	}
}

const (
	domains          = 3
	longShare        = 0.05 // of the long-answer requests run for minutes
	longTokens       = 2000
	lengthSpread     = 0.5
	templates        = 20
	systemPart       = 0.25 // of a prompt that is common to a workspace
	templatePart     = 0.75 // of a prompt that is common to a template
	emptyGapFastest  = 0.009
	prefillFastest   = 10_000.0
	speedGenerations = 4
)

// speedFactors are those of the generations of hardware.
var speedFactors = [speedGenerations]float64{1, 1.4, 2, 2.8}

func newEngines(d *deployment) []*engine {
	engines := make([]*engine, d.engines)
	for i := range engines {
		factor := speedFactors[(i/domains)%speedGenerations]
		engines[i] = &engine{
			id:     wigeonfork.BackendServerID(fmt.Sprintf("runner-%02d", i)),
			domain: domainName(i), alive: true, speed: 1,
			gap: emptyGapFastest * factor, prefillRate: prefillFastest / factor,
		}
	}
	return engines
}

func domainName(i int) wigeonfork.FailureDomain {
	return wigeonfork.FailureDomain("domain-" + strconv.Itoa(i%domains))
}

func incarnationName(n int) string { return strconv.Itoa(n) }

// stream is one request with its progress.
type stream struct {
	id        wigeonfork.RequestID
	key       quarantine.Key
	workspace wigeonfork.Workspace
	class     wigeonfork.Class
	priority  int
	prompt    int
	prefixes  []routing.Prefix
	wanted    float64 // tokens of the answer
	maxTokens uint32
	poison    bool
	deadline  time.Duration

	entry      *entry
	engine     *engine
	decision   routing.Decision
	watch      routing.Watch
	work       routing.Work
	arrived    time.Duration
	sentAt     time.Duration
	batchedAt  time.Duration
	begunAt    time.Duration // first token of this run
	firstAt    time.Duration
	resumeFrom time.Duration // time of the loss that is not yet made up for
	interrupts int
	attempts   int
	delivered  float64
	seen       float64 // tokens that the entry has counted
	tokensBase float64
	cached     int
	exclude    []wigeonfork.BackendServerID
	decoding   bool
	begun      bool
	sent       bool // held by an engine or on the way to one
	ended      bool
}

func (s *stream) endAt() float64 {
	end := s.wanted
	if s.poison {
		end = min(end, max(poisonedAtToken, s.delivered+1))
	}
	return s.tokensBase + end
}

// generator draws requests.
type generator struct {
	deployment *deployment
	random     *rand.Rand
	count      int
}

func (g *generator) next(now time.Duration) *stream {
	k := g.pickKind()
	workspace := g.zipf(g.deployment.workspaces)
	template := g.zipf(templates)
	g.count++
	s := &stream{
		id: wigeonfork.RequestID(strconv.Itoa(g.count)), class: k.class, arrived: now,
		workspace: wigeonfork.Workspace("workspace-" + strconv.Itoa(workspace)),
		prompt:    max(20, int(float64(k.prompt)*g.lengthFactor())),
		wanted:    g.length(k),
	}
	s.key.Fingerprint[0], s.key.Fingerprint[1], s.key.Fingerprint[2] = byte(g.count), byte(g.count>>8), byte(g.count>>16)
	s.maxTokens = uint32(math.Exp2(math.Ceil(math.Log2(s.wanted)) + 1))
	if k.deadline > 0 {
		s.deadline = now + k.deadline
	}
	s.prefixes = g.prefixes(s, k, workspace, template)
	return s
}

func (g *generator) prefixes(s *stream, k *kind, workspace, template int) []routing.Prefix {
	system := int(systemPart * float64(k.prompt))
	shared := int(templatePart * float64(k.prompt))
	s.prompt = max(s.prompt, shared+20)
	base := uint64(workspace)<<32 | uint64(k.class)<<16
	return []routing.Prefix{
		{Hash: base | 0xffff, Tokens: uint32(system)},
		{Hash: base | uint64(template), Tokens: uint32(shared)},
	}
}

func (g *generator) pickKind() *kind {
	at := g.random.Float64()
	for i := range g.deployment.kinds {
		k := &g.deployment.kinds[i]
		if at < k.share {
			return k
		}
		at -= k.share
	}
	return &g.deployment.kinds[0]
}

// zipf draws from n values whose weights fall as 1/k.
func (g *generator) zipf(n int) int {
	total := 0.0
	for k := range n {
		total += 1 / float64(k+1)
	}
	at := g.random.Float64() * total
	for k := range n {
		at -= 1 / float64(k+1)
		if at < 0 {
			return k
		}
	}
	return 0
}

func (g *generator) lengthFactor() float64 {
	return math.Exp(lengthSpread*g.random.NormFloat64() - lengthSpread*lengthSpread/2)
}

func (g *generator) length(k *kind) float64 {
	if k.output > 100 && g.random.Float64() < longShare {
		return longTokens * (1 + g.random.Float64())
	}
	return math.Max(5, math.Round(float64(k.output)*g.lengthFactor()))
}

// meanTokens is the expected length of an answer.
func (d *deployment) meanTokens() float64 {
	sum := 0.0
	for _, k := range d.kinds {
		mean := float64(k.output)
		if k.output > 100 {
			mean = (1-longShare)*mean + longShare*1.5*longTokens
		}
		sum += k.share * mean
	}
	return sum
}
