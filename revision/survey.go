package revision

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// DomainCount counts the hosts of a failure domain on which a revision is in
// force, on which it is not yet in force, and which did not answer. Lagging lists
// up to 8 of the hosts of the last two kinds.
type DomainCount struct {
	Domain  wigeonfork.FailureDomain `json:"failure_domain" cbor:"1,keyasint"`
	InForce int                      `json:"in_force" cbor:"2,keyasint"`
	Behind  int                      `json:"behind" cbor:"3,keyasint"`
	Unknown int                      `json:"unknown" cbor:"4,keyasint"`
	Lagging []wigeonfork.HostID      `json:"lagging,omitempty" cbor:"5,keyasint,omitempty"`
}

// SurveyResult is the result of Node.Survey, in order of failure domain.
type SurveyResult struct {
	ID       uint64
	Revision wigeonfork.Revision
	Domains  []DomainCount
}

// InForce reports whether the revision is in force on every host.
func (r *SurveyResult) InForce() bool {
	for i := range r.Domains {
		if r.Domains[i].Behind > 0 || r.Domains[i].Unknown > 0 {
			return false
		}
	}
	return true
}

// Limits of a survey. Above directSurveySize peers, the requester divides them
// into groups of about the square root of their number. It asks one delegate of
// each group, which asks the others of the group. After groupTimeout the requester
// asks the hosts of groups without a reply directly.
const (
	maxLaggingListed = 8
	maxOpenSurveys   = 64
	directSurveySize = 64
	surveyResend     = 150 * time.Millisecond
	delegateTimeout  = 1200 * time.Millisecond
	groupTimeout     = 1500 * time.Millisecond
	surveyTimeout    = 3000 * time.Millisecond
)

// surveyKey identifies a survey. IDs are unique per requester only.
type surveyKey struct {
	requester wigeonfork.HostID
	id        uint64
}

type surveys struct {
	open   map[surveyKey]*openSurvey
	lastID uint64
}

// openSurvey collects replies. The requester in key is empty if it is this
// process. For each host that has not replied, waiting lists that host and, if it
// is a delegate, the others of its group.
type openSurvey struct {
	key       surveyKey
	revision  wigeonfork.Revision
	waiting   map[wigeonfork.HostID][]Peer
	counts    map[wigeonfork.FailureDomain]*DomainCount
	resendAt  time.Time
	ungroupAt time.Time
	deadline  time.Time
}

func newSurveys() surveys { return surveys{open: make(map[surveyKey]*openSurvey)} }

// Survey starts a survey of the hosts on which revision is in force. The result
// is in the actions of this call or of a later event, after at most 3 s. It
// returns false if too many surveys are open.
//
// A survey costs the requester about 24 bytes per host, and each other host two
// or three messages. It is meant for operators, not for regular use.
func (n *Node) Survey(now time.Time, revision wigeonfork.Revision) (uint64, Actions, bool) {
	n.actions.reset()
	s := &n.surveys
	if len(s.open) >= maxOpenSurveys {
		return 0, n.actions, false
	}
	s.lastID = max(s.lastID+1, uint64(now.UnixNano()))
	survey := s.begin(surveyKey{id: s.lastID}, revision, now, surveyTimeout)
	survey.count(Peer{n.options.ID, n.options.Domain}, n.items.revision)
	for _, group := range groupPeers(n.otherPeers()) {
		survey.waiting[group[0].ID] = group
	}
	survey.sendRequests(n, now)
	survey.finish(n, now)
	return s.lastID, n.actions, true
}

// groupPeers divides peers into groups. The first of each is the delegate.
func groupPeers(peers []Peer) [][]Peer {
	size := 1
	if len(peers) > directSurveySize {
		size = int(math.Ceil(math.Sqrt(float64(len(peers)))))
	}
	return slices.Collect(slices.Chunk(peers, size))
}

func (s *surveys) begin(key surveyKey, revision wigeonfork.Revision, now time.Time, limit time.Duration) *openSurvey {
	survey := &openSurvey{
		key:       key,
		revision:  revision,
		waiting:   make(map[wigeonfork.HostID][]Peer),
		counts:    make(map[wigeonfork.FailureDomain]*DomainCount),
		ungroupAt: now.Add(groupTimeout),
		deadline:  now.Add(limit),
	}
	s.open[key] = survey
	return survey
}

// handleSurvey handles a request. A delegate asks the other hosts of its group
// before it replies.
func (s *surveys) handleSurvey(n *Node, now time.Time, from wigeonfork.HostID, request *Survey) {
	if request == nil {
		return
	}
	key := surveyKey{requester: from, id: request.ID}
	if len(request.Peers) == 0 {
		m := n.newMessage(KindSurveyReply)
		m.Survey = &Survey{ID: request.ID, Revision: request.Revision}
		n.send(from, m)
		return
	}
	if _, known := s.open[key]; known || len(s.open) >= maxOpenSurveys {
		return
	}
	survey := s.begin(key, request.Revision, now, delegateTimeout)
	for _, peer := range request.Peers {
		survey.waiting[peer.ID] = []Peer{peer}
	}
	survey.sendRequests(n, now)
}

// handleReply handles the reply of a host or a delegate.
func (s *surveys) handleReply(n *Node, now time.Time, from wigeonfork.HostID, m *Message) {
	if m.Survey == nil {
		return
	}
	for _, survey := range s.withID(m.Survey.ID) {
		group, waiting := survey.waiting[from]
		if !waiting {
			continue
		}
		delete(survey.waiting, from)
		survey.count(group[0], m.Revision)
		for i := range m.Survey.Domains {
			if len(group) > 1 {
				survey.addCounts(&m.Survey.Domains[i])
			}
		}
		survey.finish(n, now)
	}
}

func (s *surveys) withID(id uint64) []*openSurvey {
	return slices.DeleteFunc(s.sorted(), func(o *openSurvey) bool { return o.key.id != id })
}

func (s *surveys) sorted() []*openSurvey {
	return slices.SortedFunc(maps.Values(s.open), func(a, b *openSurvey) int {
		return cmp.Or(cmp.Compare(a.key.requester, b.key.requester), cmp.Compare(a.key.id, b.key.id))
	})
}

func (s *surveys) tick(n *Node, now time.Time) {
	if len(s.open) == 0 {
		return
	}
	for _, survey := range s.sorted() {
		if !now.Before(survey.ungroupAt) {
			survey.splitGroups()
		}
		if !now.Before(survey.resendAt) {
			survey.sendRequests(n, now)
		}
		survey.finish(n, now)
	}
}

func (s *surveys) nextWake(wake time.Time) time.Time {
	for _, survey := range s.open {
		wake = earlier(wake, earlier(survey.resendAt, survey.deadline))
	}
	return wake
}

// sendRequests sends the request to all hosts and delegates without a reply.
func (o *openSurvey) sendRequests(n *Node, now time.Time) {
	o.resendAt = now.Add(surveyResend)
	for _, id := range slices.Sorted(maps.Keys(o.waiting)) {
		m := n.newMessage(KindSurvey)
		m.Survey = &Survey{ID: o.key.id, Revision: o.revision, Peers: o.waiting[id][1:]}
		n.send(id, m)
	}
}

// splitGroups replaces each group without a reply by its hosts, to be asked
// directly.
func (o *openSurvey) splitGroups() {
	for _, id := range slices.Collect(maps.Keys(o.waiting)) {
		for _, peer := range o.waiting[id] {
			o.waiting[peer.ID] = []Peer{peer}
		}
	}
}

// finish ends the survey once all have replied or its deadline has passed. Hosts
// without a reply count as unknown.
func (o *openSurvey) finish(n *Node, now time.Time) {
	if len(o.waiting) > 0 && now.Before(o.deadline) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(o.waiting)) {
		for _, peer := range o.waiting[id] {
			o.countUnknown(peer)
		}
	}
	delete(n.surveys.open, o.key)
	o.sendResult(n)
}

func (o *openSurvey) sendResult(n *Node) {
	domains := o.domains()
	if o.key.requester == "" {
		n.actions.Surveys = append(n.actions.Surveys, SurveyResult{ID: o.key.id, Revision: o.revision, Domains: domains})
		return
	}
	m := n.newMessage(KindSurveyReply)
	m.Survey = &Survey{ID: o.key.id, Revision: o.revision, Domains: domains}
	n.send(o.key.requester, m)
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

func (o *openSurvey) count(peer Peer, revision wigeonfork.Revision) {
	d := o.domain(peer.Domain)
	if revision >= o.revision {
		d.InForce++
		return
	}
	d.Behind++
	d.addLagging(peer.ID)
}

func (o *openSurvey) countUnknown(peer Peer) {
	d := o.domain(peer.Domain)
	d.Unknown++
	d.addLagging(peer.ID)
}

func (o *openSurvey) addCounts(part *DomainCount) {
	d := o.domain(part.Domain)
	d.InForce += part.InForce
	d.Behind += part.Behind
	d.Unknown += part.Unknown
	for _, id := range part.Lagging {
		d.addLagging(id)
	}
}

func (d *DomainCount) addLagging(id wigeonfork.HostID) {
	if len(d.Lagging) < maxLaggingListed {
		d.Lagging = append(d.Lagging, id)
	}
}
