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

// classProfile describes the requests of one class.
type classProfile struct {
	class    wigeonfork.Class
	share    float64 // fraction of all requests
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
	profiles   []classProfile
	workspaces int
	// interactive lists the classes that need a fast first token at any load.
	interactive []wigeonfork.Class
}

func regnsamler() deployment {
	return deployment{
		name: "regnsamler", engines: 25, entries: 3, workspaces: 10,
		policy: admission.RegnsamlerPolicy(),
		profiles: []classProfile{
			{class: wigeonfork.ClassLookup, share: 0.60, prompt: 400, output: 60, deadline: 15 * time.Second},
			{class: wigeonfork.ClassDraft, share: 0.35, prompt: 1500, output: 500},
			{class: wigeonfork.ClassDisbursement, share: 0.05, prompt: 300, output: 40, deadline: 15 * time.Second},
		},
		interactive: []wigeonfork.Class{wigeonfork.ClassLookup, wigeonfork.ClassDisbursement},
	}
}

func cairnmark() deployment {
	return deployment{
		name: "cairnmark", engines: 35, entries: 3, workspaces: 10,
		policy: admission.CairnmarkPolicy(),
		profiles: []classProfile{
			{class: wigeonfork.ClassNarrative, share: 0.45, prompt: 2500, output: 600},
			{class: wigeonfork.ClassCertificate, share: 0.10, prompt: 500, output: 80, deadline: 15 * time.Second},
			{class: wigeonfork.ClassLookup, share: 0.45, prompt: 400, output: 60, deadline: 15 * time.Second},
		},
		interactive: []wigeonfork.Class{wigeonfork.ClassNarrative, wigeonfork.ClassCertificate},
	}
}

const (
	domainCount         = 3
	longShare           = 0.05 // of the requests with long answers run for minutes
	longTokens          = 2000
	lengthSpread        = 0.5
	templateCount       = 20
	systemShare         = 0.25     // of the mean prompt, shared by a workspace and class
	templateShare       = 0.75     // of the mean prompt, shared by a template
	minEmptyBatchGap    = 0.009    // seconds
	maxPrefillRate      = 10_000.0 // tokens per second
	hardwareGenerations = 4
)

// gapFactors are the inter-token times of the hardware generations, relative to
// the fastest.
var gapFactors = [hardwareGenerations]float64{1, 1.4, 2, 2.8}

func newEngines(d *deployment) []*engine {
	engines := make([]*engine, d.engines)
	for i := range engines {
		factor := gapFactors[(i/domainCount)%hardwareGenerations]
		engines[i] = &engine{
			id:     wigeonfork.BackendServerID(fmt.Sprintf("runner-%02d", i)),
			domain: domainName(i), alive: true, speed: 1,
			gap: minEmptyBatchGap * factor, prefillRate: maxPrefillRate / factor,
		}
	}
	return engines
}

func domainName(i int) wigeonfork.FailureDomain {
	return wigeonfork.FailureDomain("domain-" + strconv.Itoa(i%domainCount))
}

func incarnationName(n int) string { return strconv.Itoa(n) }

// stream is one request and its progress.
type stream struct {
	id           wigeonfork.RequestID
	key          quarantine.Key
	workspace    wigeonfork.Workspace
	class        wigeonfork.Class
	priority     int
	promptTokens int
	prefixes     []routing.Prefix
	answerTokens float64 // length of the complete answer
	maxTokens    uint32
	poison       bool
	deadline     time.Duration

	entry           *entry
	engine          *engine
	decision        routing.Decision
	watch           routing.Watch
	work            routing.Work
	arrived         time.Duration
	sentAt          time.Duration
	batchedAt       time.Duration
	decodeStartedAt time.Duration // first token of the current attempt
	firstTokenAt    time.Duration
	interruptedAt   time.Duration // time of an interruption that is not yet resumed; 0 if none
	interruptions   int
	attempts        int
	delivered       float64
	countedTokens   float64 // tokens that the entry has counted
	tokensBase      float64
	cachedTokens    int
	exclude         []wigeonfork.BackendServerID
	decoding        bool
	begun           bool
	assigned        bool // held by an engine or in transit to one
	ended           bool
}

func (s *stream) endTokens() float64 {
	end := s.answerTokens
	if s.poison {
		end = min(end, max(poisonCrashToken, s.delivered+1))
	}
	return s.tokensBase + end
}

// generator draws random requests.
type generator struct {
	deployment *deployment
	random     *rand.Rand
	count      int
}

func (g *generator) next(now time.Duration) *stream {
	k := g.pickProfile()
	workspace := g.zipf(g.deployment.workspaces)
	template := g.zipf(templateCount)
	g.count++
	s := &stream{
		id: wigeonfork.RequestID(strconv.Itoa(g.count)), class: k.class, arrived: now,
		workspace:    wigeonfork.Workspace("workspace-" + strconv.Itoa(workspace)),
		promptTokens: max(20, int(float64(k.prompt)*g.lengthFactor())),
		answerTokens: g.length(k),
	}
	s.key.Fingerprint[0], s.key.Fingerprint[1], s.key.Fingerprint[2] = byte(g.count), byte(g.count>>8), byte(g.count>>16)
	s.maxTokens = uint32(math.Exp2(math.Ceil(math.Log2(s.answerTokens)) + 1))
	if k.deadline > 0 {
		s.deadline = now + k.deadline
	}
	s.prefixes = g.prefixes(s, k, workspace, template)
	return s
}

func (g *generator) prefixes(s *stream, k *classProfile, workspace, template int) []routing.Prefix {
	system := int(systemShare * float64(k.prompt))
	shared := int(templateShare * float64(k.prompt))
	s.promptTokens = max(s.promptTokens, shared+20)
	base := uint64(workspace)<<32 | uint64(k.class)<<16
	return []routing.Prefix{
		{Hash: base | 0xffff, Tokens: uint32(system)},
		{Hash: base | uint64(template), Tokens: uint32(shared)},
	}
}

func (g *generator) pickProfile() *classProfile {
	at := g.random.Float64()
	for i := range g.deployment.profiles {
		k := &g.deployment.profiles[i]
		if at < k.share {
			return k
		}
		at -= k.share
	}
	return &g.deployment.profiles[0]
}

// zipf draws from n values; the k-th has the weight 1/k.
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

func (g *generator) length(k *classProfile) float64 {
	if k.output > 100 && g.random.Float64() < longShare {
		return longTokens * (1 + g.random.Float64())
	}
	return math.Max(5, math.Round(float64(k.output)*g.lengthFactor()))
}

// meanTokens returns the expected number of tokens of an answer.
func (d *deployment) meanTokens() float64 {
	sum := 0.0
	for _, k := range d.profiles {
		mean := float64(k.output)
		if k.output > 100 {
			mean = (1-longShare)*mean + longShare*1.5*longTokens
		}
		sum += k.share * mean
	}
	return sum
}
