package health

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// StreamID identifies a stream at one backend server. A stream that continues at another server
// gets a new id there.
type StreamID uint64

// Finding is the kind of a Verdict.
type Finding uint8

// The findings.
const (
	// FindingProbe means that the server must be probed.
	FindingProbe Finding = iota
	// FindingServerUnresponsive means that the server is lost with all its streams.
	FindingServerUnresponsive
	// FindingStreamStalled means that the server is live but the stream makes no progress.
	FindingStreamStalled
)

var findingNames = [...]string{"probe", "server_silent", "stream_stalled"}

// String returns the name of f.
func (f Finding) String() string { return findingNames[f] }

// Verdict is a finding about a server, or about one of its streams. Stream is 0 unless Finding is
// FindingStreamStalled.
type Verdict struct {
	Finding Finding
	Server  ID
	Stream  StreamID
	// Inactivity is the time without activity that led to the finding.
	Inactivity time.Duration
}

const (
	// singleStreamTimeout is the time without activity after which a server is lost if one stream
	// has begun there.
	singleStreamTimeout = 400 * time.Millisecond
	// multiStreamTimeout is the same if several streams have begun there.
	multiStreamTimeout = 260 * time.Millisecond
	// afterLossTimeout is the same within afterLossPeriod of the loss of a server in the
	// failure domain.
	afterLossTimeout = 200 * time.Millisecond
	// afterLossPeriod is the time for which a loss shortens the timeout of its failure domain.
	afterLossPeriod = 1500 * time.Millisecond
	// gapFactor raises the timeout of a slow server: to gapFactor average gaps between its events,
	// at most maxServerTimeout.
	gapFactor = 3
	// maxServerTimeout bounds the timeout of a slow server. Callers count a longer pause as
	// late.
	maxServerTimeout = 520 * time.Millisecond
	// idleProbeInterval is the time without activity after which a server is probed if none of its
	// streams has begun, and the time between two such probes.
	idleProbeInterval = 600 * time.Millisecond
	// probeTimeout bounds the time until the answer to a probe.
	probeTimeout = 350 * time.Millisecond
	// stalledStreamTimeout is the time without events after which a stream has stalled although
	// its server sends events on others.
	stalledStreamTimeout = 1500 * time.Millisecond
	// noEventTimeout is the time without events on any stream after which a stream that has not
	// begun in time is stalled and not just queued behind others.
	noEventTimeout = 5 * time.Second
	// gapWeight is the weight of one gap in the moving average of a server.
	gapWeight = 0.1
)

// ProbeTimeout bounds the time until the answer to a FindingProbe.
const ProbeTimeout = probeTimeout

// stream is a stream at one server. It has begun once the server has sent an event of it.
type stream struct {
	server    ID
	begun     bool
	queued    bool
	sentAt    time.Time
	lastEvent time.Time
	startBy   time.Time
}

// serverStreams holds the streams at one server.
type serverStreams struct {
	domain            wigeonfork.FailureDomain
	streams           map[StreamID]*stream
	lastActivity      time.Time
	lastEvent         time.Time // on any stream
	newestBegunSentAt time.Time // when the newest queued stream that has begun was sent
	averageGap        time.Duration
	begun             int
	probedAt          time.Time
	unresponsive      bool
}

// Streams detects unresponsive servers and stalled streams from the events of all streams.
type Streams struct {
	next         StreamID
	streams      map[StreamID]*stream
	servers      map[ID]*serverStreams
	domainLostAt map[wigeonfork.FailureDomain]time.Time
	verdicts     []Verdict
}

// NewStreams returns an empty Streams.
func NewStreams() *Streams {
	return &Streams{
		streams:      make(map[StreamID]*stream),
		servers:      make(map[ID]*serverStreams),
		domainLostAt: make(map[wigeonfork.FailureDomain]time.Time),
	}
}

// Start begins to watch a stream whose first event is due by startBy. queued is set if the stream
// waits in the server's queue like a new request. A stream that resumes from a copied state, or is
// more urgent, overtakes those in the queue.
func (s *Streams) Start(now time.Time, server ID, domain wigeonfork.FailureDomain, startBy time.Time, queued bool) StreamID {
	s.next++
	id := s.next
	ss := s.servers[server]
	if ss == nil {
		ss = &serverStreams{domain: domain, streams: make(map[StreamID]*stream)}
		s.servers[server] = ss
	}
	if len(ss.streams) == 0 {
		ss.lastActivity, ss.lastEvent, ss.unresponsive = now, now, false
	}
	st := &stream{server: server, queued: queued, sentAt: now, lastEvent: now, startBy: startBy}
	ss.streams[id] = st
	s.streams[id] = st
	return id
}

// Event records an event of a stream.
func (s *Streams) Event(now time.Time, id StreamID) {
	st := s.streams[id]
	if st == nil {
		return
	}
	ss := s.servers[st.server]
	if st.begun {
		ss.observeGap(now.Sub(st.lastEvent))
	} else {
		st.begun = true
		ss.begun++
		if st.queued && st.sentAt.After(ss.newestBegunSentAt) {
			ss.newestBegunSentAt = st.sentAt
		}
	}
	st.lastEvent, ss.lastActivity, ss.lastEvent, ss.unresponsive = now, now, now, false
}

func (ss *serverStreams) observeGap(gap time.Duration) {
	if ss.averageGap == 0 {
		ss.averageGap = gap
		return
	}
	ss.averageGap += time.Duration(gapWeight * float64(gap-ss.averageGap))
}

// ServerResponded records a response of a server other than an event, such as the answer to a
// probe.
func (s *Streams) ServerResponded(now time.Time, server ID) {
	if ss := s.servers[server]; ss != nil {
		ss.lastActivity, ss.unresponsive = now, false
	}
}

// ServerLost records the loss of a server in a failure domain, however it was detected.
func (s *Streams) ServerLost(now time.Time, domain wigeonfork.FailureDomain) {
	s.domainLostAt[domain] = now
}

// End stops watching a stream.
func (s *Streams) End(id StreamID) {
	st := s.streams[id]
	if st == nil {
		return
	}
	delete(s.streams, id)
	ss := s.servers[st.server]
	delete(ss.streams, id)
	if st.begun {
		ss.begun--
	}
	if len(ss.streams) == 0 {
		delete(s.servers, st.server)
	}
}

// Len returns the number of watched streams.
func (s *Streams) Len() int { return len(s.streams) }

// Sweep checks all servers with streams. The returned slice is valid until the next call.
func (s *Streams) Sweep(now time.Time) []Verdict {
	s.verdicts = s.verdicts[:0]
	for id, ss := range s.servers {
		if ss.unresponsive {
			continue
		}
		inactivity := now.Sub(ss.lastActivity)
		if ss.begun > 0 && inactivity >= s.serverTimeout(now, ss) {
			ss.unresponsive = true
			s.verdicts = append(s.verdicts, Verdict{Finding: FindingServerUnresponsive, Server: id, Inactivity: inactivity})
			continue
		}
		s.probeIfIdle(now, id, ss, inactivity)
		s.findStalled(now, id, ss)
	}
	return s.verdicts
}

// serverTimeout returns the time without activity after which a server with streams that have begun
// is lost.
func (s *Streams) serverTimeout(now time.Time, ss *serverStreams) time.Duration {
	timeout := singleStreamTimeout
	if ss.begun > 1 {
		timeout = multiStreamTimeout
	}
	if at, ok := s.domainLostAt[ss.domain]; ok && now.Sub(at) < afterLossPeriod {
		timeout = afterLossTimeout
	}
	return min(max(timeout, gapFactor*ss.averageGap), maxServerTimeout)
}

// probeIfIdle asks for a probe of a server whose streams have not begun. While a server reads
// a prompt, missing events do not show whether it is live.
func (s *Streams) probeIfIdle(now time.Time, id ID, ss *serverStreams, inactivity time.Duration) {
	if ss.begun > 0 || inactivity < idleProbeInterval || now.Sub(ss.probedAt) < idleProbeInterval {
		return
	}
	ss.probedAt = now
	s.verdicts = append(s.verdicts, Verdict{Finding: FindingProbe, Server: id, Inactivity: inactivity})
}

// findStalled reports the streams of a live server that make no progress.
func (s *Streams) findStalled(now time.Time, server ID, ss *serverStreams) {
	for id, st := range ss.streams {
		if !ss.isStalled(now, st) {
			continue
		}
		s.verdicts = append(s.verdicts, Verdict{Finding: FindingStreamStalled, Server: server, Stream: id, Inactivity: now.Sub(st.lastEvent)})
		st.lastEvent, st.startBy = now, now.Add(stalledStreamTimeout)
	}
}

// isStalled reports whether a stream makes no progress. A stream that has not begun is stalled if
// it is overdue and either a later one has begun or the server sends no events at all. Otherwise it
// waits behind others, and at another server it would have to wait again.
func (ss *serverStreams) isStalled(now time.Time, st *stream) bool {
	if st.begun {
		return now.Sub(st.lastEvent) >= stalledStreamTimeout
	}
	if now.Before(st.startBy) {
		return false
	}
	return ss.newestBegunSentAt.After(st.sentAt) || now.Sub(ss.lastEvent) >= noEventTimeout
}

// StreamsAt returns the streams at a server.
func (s *Streams) StreamsAt(server ID) []StreamID {
	ss := s.servers[server]
	if ss == nil {
		return nil
	}
	ids := make([]StreamID, 0, len(ss.streams))
	for id := range ss.streams {
		ids = append(ids, id)
	}
	return ids
}
