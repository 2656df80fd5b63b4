package revision

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// DomainCount tells on how many hosts of a failure domain a revision is in
// force, is not yet, or is not known because the host did not answer. Lagging
// names some of the hosts of the last two kinds.
type DomainCount struct {
	Domain  wigeonfork.FailureDomain `json:"failure_domain" cbor:"1,keyasint"`
	InForce int                      `json:"in_force" cbor:"2,keyasint"`
	Behind  int                      `json:"behind" cbor:"3,keyasint"`
	Unknown int                      `json:"unknown" cbor:"4,keyasint"`
	Lagging []wigeonfork.HostID      `json:"lagging,omitempty" cbor:"5,keyasint,omitempty"`
}

// SurveyResult is the answer to Node.Survey, in order of failure domain.
type SurveyResult struct {
	ID       uint64
	Revision wigeonfork.Revision
	Domains  []DomainCount
}

// InForce tells whether the revision is in force on every host.
func (r *SurveyResult) InForce() bool {
	for i := range r.Domains {
		if r.Domains[i].Behind > 0 || r.Domains[i].Unknown > 0 {
			return false
		}
	}
	return true
}

// Limits of a survey. A host asks at most the square root of all hosts, and
// each of these asks as many.
const (
	maxLaggingNamed  = 8
	maxSurveys       = 64
	directSurveySize = 64
	surveyResend     = 150 * time.Millisecond
	delegateTime     = 1200 * time.Millisecond
	groupTime        = 1500 * time.Millisecond
	surveyTime       = 3000 * time.Millisecond
)

// surveyKey tells apart the surveys of different hosts.
type surveyKey struct {
	asker wigeonfork.HostID
	id    uint64
}

type surveys struct {
	open   map[surveyKey]*openSurvey
	lastID uint64
}

// openSurvey collects answers. The asker is empty where it is this process.
type openSurvey struct {
	key      surveyKey
	revision wigeonfork.Revision
	waiting  map[wigeonfork.HostID][]Peer
	counts   map[wigeonfork.FailureDomain]*DomainCount
	resend   time.Time
	ungroup  time.Time
	deadline time.Time
}

func newSurveys() surveys { return surveys{open: make(map[surveyKey]*openSurvey)} }

// Survey asks on which hosts revision is in force. The result comes with the
// actions of a later event, after 3 s at most. It returns false where too
// many surveys are open. A survey costs the asking host about 24 bytes for
// every host, and each other host two or three messages; it is made for an
// operator, not regularly.
func (n *Node) Survey(now time.Time, revision wigeonfork.Revision) (uint64, Actions, bool) {
	n.out.reset()
	s := &n.surveys
	if len(s.open) >= maxSurveys {
		return 0, n.out, false
	}
	s.lastID = max(s.lastID+1, uint64(now.UnixNano()))
	survey := s.begin(surveyKey{id: s.lastID}, revision, now, surveyTime)
	survey.count(Peer{n.options.ID, n.options.Domain}, n.items.revision)
	for _, group := range split(n.others()) {
		survey.waiting[group[0].ID] = group
	}
	survey.ask(n, now)
	survey.finish(n, now)
	return s.lastID, n.out, true
}

// split makes groups of peers, the first of each being the one to ask.
func split(peers []Peer) [][]Peer {
	size := 1
	if len(peers) > directSurveySize {
		size = int(math.Ceil(math.Sqrt(float64(len(peers)))))
	}
	return slices.Collect(slices.Chunk(peers, size))
}

func (s *surveys) begin(key surveyKey, revision wigeonfork.Revision, now time.Time, limit time.Duration) *openSurvey {
	survey := &openSurvey{
		key:      key,
		revision: revision,
		waiting:  make(map[wigeonfork.HostID][]Peer),
		counts:   make(map[wigeonfork.FailureDomain]*DomainCount),
		ungroup:  now.Add(groupTime),
		deadline: now.Add(limit),
	}
	s.open[key] = survey
	return survey
}

// asked handles a survey of a peer, whose own group it may have to ask.
func (s *surveys) asked(n *Node, now time.Time, from wigeonfork.HostID, in *Survey) {
	if in == nil {
		return
	}
	key := surveyKey{asker: from, id: in.ID}
	if len(in.Peers) == 0 {
		m := n.header(KindSurveyReply)
		m.Survey = &Survey{ID: in.ID, Revision: in.Revision}
		n.send(from, m)
		return
	}
	if _, known := s.open[key]; known || len(s.open) >= maxSurveys {
		return
	}
	survey := s.begin(key, in.Revision, now, delegateTime)
	for _, peer := range in.Peers {
		survey.waiting[peer.ID] = []Peer{peer}
	}
	survey.ask(n, now)
}

// answered handles the answer of a host or of the first of a group.
func (s *surveys) answered(n *Node, now time.Time, from wigeonfork.HostID, m *Message) {
	if m.Survey == nil {
		return
	}
	for _, survey := range s.matching(m.Survey.ID) {
		group, waiting := survey.waiting[from]
		if !waiting {
			continue
		}
		delete(survey.waiting, from)
		survey.count(group[0], m.Revision)
		for i := range m.Survey.Domains {
			if len(group) > 1 {
				survey.add(&m.Survey.Domains[i])
			}
		}
		survey.finish(n, now)
	}
}

func (s *surveys) matching(id uint64) []*openSurvey {
	return slices.DeleteFunc(s.ordered(), func(o *openSurvey) bool { return o.key.id != id })
}

func (s *surveys) ordered() []*openSurvey {
	return slices.SortedFunc(maps.Values(s.open), func(a, b *openSurvey) int {
		return cmp.Or(cmp.Compare(a.key.asker, b.key.asker), cmp.Compare(a.key.id, b.key.id))
	})
}

func (s *surveys) tick(n *Node, now time.Time) {
	if len(s.open) == 0 {
		return
	}
	for _, survey := range s.ordered() {
		if !now.Before(survey.ungroup) {
			survey.ungrouped()
		}
		if !now.Before(survey.resend) {
			survey.ask(n, now)
		}
		survey.finish(n, now)
	}
}

func (s *surveys) wake(wake time.Time) time.Time {
	for _, survey := range s.open {
		wake = earlier(wake, earlier(survey.resend, survey.deadline))
	}
	return wake
}

// ask sends the survey to all that have not answered.
func (o *openSurvey) ask(n *Node, now time.Time) {
	o.resend = now.Add(surveyResend)
	for _, id := range slices.Sorted(maps.Keys(o.waiting)) {
		m := n.header(KindSurvey)
		m.Survey = &Survey{ID: o.key.id, Revision: o.revision, Peers: o.waiting[id][1:]}
		n.send(id, m)
	}
}

// ungrouped makes the survey ask every host of the groups whose first host
// did not answer in time.
func (o *openSurvey) ungrouped() {
	for _, id := range slices.Collect(maps.Keys(o.waiting)) {
		for _, peer := range o.waiting[id] {
			o.waiting[peer.ID] = []Peer{peer}
		}
	}
}

// finish ends the survey once all have answered or its time is over. Hosts
// that did not answer count as unknown.
func (o *openSurvey) finish(n *Node, now time.Time) {
	if len(o.waiting) > 0 && now.Before(o.deadline) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(o.waiting)) {
		for _, peer := range o.waiting[id] {
			o.unknown(peer)
		}
	}
	delete(n.surveys.open, o.key)
	o.report(n)
}

func (o *openSurvey) report(n *Node) {
	domains := o.domains()
	if o.key.asker == "" {
		n.out.Surveys = append(n.out.Surveys, SurveyResult{ID: o.key.id, Revision: o.revision, Domains: domains})
		return
	}
	m := n.header(KindSurveyReply)
	m.Survey = &Survey{ID: o.key.id, Revision: o.revision, Domains: domains}
	n.send(o.key.asker, m)
}

func (o *openSurvey) domains() []DomainCount {
	domains := make([]DomainCount, 0, len(o.counts))
	for _, name := range slices.Sorted(maps.Keys(o.counts)) {
		domains = append(domains, *o.counts[name])
	}
	return domains
}

func (o *openSurvey) domain(name wigeonfork.FailureDomain) *DomainCount {
	count, found := o.counts[name]
	if !found {
		count = &DomainCount{Domain: name}
		o.counts[name] = count
	}
	return count
}

func (o *openSurvey) count(peer Peer, held wigeonfork.Revision) {
	d := o.domain(peer.Domain)
	if held >= o.revision {
		d.InForce++
		return
	}
	d.Behind++
	d.name(peer.ID)
}

func (o *openSurvey) unknown(peer Peer) {
	d := o.domain(peer.Domain)
	d.Unknown++
	d.name(peer.ID)
}

func (o *openSurvey) add(part *DomainCount) {
	d := o.domain(part.Domain)
	d.InForce += part.InForce
	d.Behind += part.Behind
	d.Unknown += part.Unknown
	for _, id := range part.Lagging {
		d.name(id)
	}
}

func (d *DomainCount) name(id wigeonfork.HostID) {
	if len(d.Lagging) < maxLaggingNamed {
		d.Lagging = append(d.Lagging, id)
	}
}
