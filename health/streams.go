package health

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// StreamID names one run of a stream at a backend server.
type StreamID uint64

// Finding is what Sweep asks for.
type Finding uint8

// The findings.
const (
	// FindingProbe: ask the server for a sign of life.
	FindingProbe Finding = iota
	// FindingServerUnresponsive: the server is lost with all its streams.
	FindingServerUnresponsive
	// FindingStreamStalled: the server lives, but this stream does not go on.
	FindingStreamStalled
)

var findingNames = [...]string{"probe", "server_silent", "stream_stalled"}

// String returns the name of f.
func (f Finding) String() string { return findingNames[f] }

// Verdict is a finding about a server, or about one of its streams.
type Verdict struct {
	Finding Finding
	Server  ID
	Stream  StreamID
	// Inactivity is the time without a sign of life that led to the finding.
	Inactivity time.Duration
}

const (
	// singleStreamTimeout is the silence of a server's only stream that means its loss.
	singleStreamTimeout = 400 * time.Millisecond
	// multiStreamTimeout is the same where several streams are silent at once.
	multiStreamTimeout = 260 * time.Millisecond
	// afterLossTimeout is the same shortly after another server of the failure
	// domain was lost.
	afterLossTimeout = 200 * time.Millisecond
	// afterLossPeriod is how long a loss counts as shortly before.
	afterLossPeriod = 1500 * time.Millisecond
	// gapFactor is how many of a server's usual gaps between events it may be
	// silent, within silenceMost.
	gapFactor = 3
	// maxServerTimeout bounds the silence that a slow server is granted; a pause that
	// is longer is late for callers.
	maxServerTimeout = 520 * time.Millisecond
	// idleProbeInterval is the silence of a server without a running stream after which
	// it is probed, and the time between two probes.
	idleProbeInterval = 600 * time.Millisecond
	// probeTimeout is the time that a probe's answer may take.
	probeTimeout = 350 * time.Millisecond
	// stalledStreamTimeout is the silence of one stream at a server that speaks on others.
	stalledStreamTimeout = 1500 * time.Millisecond
	// noEventTimeout is the time without any event after which a server that has not
	// begun a stream in time is not merely busy with others.
	noEventTimeout = 5 * time.Second
	// gapWeight is the weight of one gap in a server's usual gap.
	gapWeight = 0.1
)

// ProbeTimeout is the time that the answer to a FindingProbe may take.
const ProbeTimeout = probeTimeout

// stream is one run.
type stream struct {
	server    ID
	begun     bool
	queued    bool
	sentAt    time.Time
	lastEvent time.Time
	startBy   time.Time
}

// source is a server with its running streams.
type source struct {
	domain            wigeonfork.FailureDomain
	streams           map[StreamID]*stream
	lastActivity      time.Time
	lastEvent         time.Time // of any stream
	newestBegunSentAt time.Time // when the newest queued stream that has begun was sent
	averageGap        time.Duration
	begun             int
	probedAt          time.Time
	unresponsive      bool
}

// Streams watches the runs of all streams for losses that show as silence.
type Streams struct {
	next         StreamID
	streams      map[StreamID]*stream
	sources      map[ID]*source
	domainLostAt map[wigeonfork.FailureDomain]time.Time
	verdicts     []Verdict
}

// NewStreams returns an empty Streams.
func NewStreams() *Streams {
	return &Streams{
		streams:      make(map[StreamID]*stream),
		sources:      make(map[ID]*source),
		domainLostAt: make(map[wigeonfork.FailureDomain]time.Time),
	}
}

// Start begins to watch a run whose first event is due by startBy. queued says
// that it waits its turn like any new request; a run that goes on from a copy, or
// is more urgent, overtakes those that wait.
func (s *Streams) Start(now time.Time, server ID, domain wigeonfork.FailureDomain, startBy time.Time, queued bool) StreamID {
	s.next++
	id := s.next
	src := s.sources[server]
	if src == nil {
		src = &source{domain: domain, streams: make(map[StreamID]*stream)}
		s.sources[server] = src
	}
	if len(src.streams) == 0 {
		src.lastActivity, src.lastEvent, src.unresponsive = now, now, false
	}
	st := &stream{server: server, queued: queued, sentAt: now, lastEvent: now, startBy: startBy}
	src.streams[id] = st
	s.streams[id] = st
	return id
}

// Event records an event of a run.
func (s *Streams) Event(now time.Time, id StreamID) {
	st := s.streams[id]
	if st == nil {
		return
	}
	src := s.sources[st.server]
	if st.begun {
		src.observeGap(now.Sub(st.lastEvent))
	} else {
		st.begun = true
		src.begun++
		if st.queued && st.sentAt.After(src.newestBegunSentAt) {
			src.newestBegunSentAt = st.sentAt
		}
	}
	st.lastEvent, src.lastActivity, src.lastEvent, src.unresponsive = now, now, now, false
}

func (src *source) observeGap(gap time.Duration) {
	if src.averageGap == 0 {
		src.averageGap = gap
		return
	}
	src.averageGap += time.Duration(gapWeight * float64(gap-src.averageGap))
}

// ServerResponded records a sign of life of a server, as the answer to a probe.
func (s *Streams) ServerResponded(now time.Time, server ID) {
	if src := s.sources[server]; src != nil {
		src.lastActivity, src.unresponsive = now, false
	}
}

// ServerLost records the loss of a server, however it was found.
func (s *Streams) ServerLost(now time.Time, domain wigeonfork.FailureDomain) {
	s.domainLostAt[domain] = now
}

// End stops watching a run.
func (s *Streams) End(id StreamID) {
	st := s.streams[id]
	if st == nil {
		return
	}
	delete(s.streams, id)
	src := s.sources[st.server]
	delete(src.streams, id)
	if st.begun {
		src.begun--
	}
	if len(src.streams) == 0 {
		delete(s.sources, st.server)
	}
}

// Len returns the number of runs that are watched.
func (s *Streams) Len() int { return len(s.streams) }

// Sweep judges all servers with runs. The verdicts hold until the next call.
func (s *Streams) Sweep(now time.Time) []Verdict {
	s.verdicts = s.verdicts[:0]
	for id, src := range s.sources {
		if src.unresponsive {
			continue
		}
		inactivity := now.Sub(src.lastActivity)
		if src.begun > 0 && inactivity >= s.serverTimeout(now, src) {
			src.unresponsive = true
			s.verdicts = append(s.verdicts, Verdict{Finding: FindingServerUnresponsive, Server: id, Inactivity: inactivity})
			continue
		}
		s.probeIfIdle(now, id, src, inactivity)
		s.findStalled(now, id, src)
	}
	return s.verdicts
}

// serverTimeout is the silence at which a server with running streams counts as lost.
func (s *Streams) serverTimeout(now time.Time, src *source) time.Duration {
	timeout := singleStreamTimeout
	if src.begun > 1 {
		timeout = multiStreamTimeout
	}
	if at, ok := s.domainLostAt[src.domain]; ok && now.Sub(at) < afterLossPeriod {
		timeout = afterLossTimeout
	}
	return min(max(timeout, gapFactor*src.averageGap), maxServerTimeout)
}

// probeIfIdle asks for a sign of life of a server whose streams have not begun: their
// silence says nothing while a prompt is read.
func (s *Streams) probeIfIdle(now time.Time, id ID, src *source, inactivity time.Duration) {
	if src.begun > 0 || inactivity < idleProbeInterval || now.Sub(src.probedAt) < idleProbeInterval {
		return
	}
	src.probedAt = now
	s.verdicts = append(s.verdicts, Verdict{Finding: FindingProbe, Server: id, Inactivity: inactivity})
}

// findStalled finds streams that do not go on although their server does.
func (s *Streams) findStalled(now time.Time, server ID, src *source) {
	for id, st := range src.streams {
		if !src.isStalled(now, st) {
			continue
		}
		s.verdicts = append(s.verdicts, Verdict{Finding: FindingStreamStalled, Server: server, Stream: id, Inactivity: now.Sub(st.lastEvent)})
		st.lastEvent, st.startBy = now, now.Add(stalledStreamTimeout)
	}
}

// isStalled tells whether a stream will not go on by itself. One that has not begun
// is isStalled if a later one has, or if the server makes no event at all; else it
// waits behind others, and would only wait anew elsewhere.
func (src *source) isStalled(now time.Time, st *stream) bool {
	if st.begun {
		return now.Sub(st.lastEvent) >= stalledStreamTimeout
	}
	if now.Before(st.startBy) {
		return false
	}
	return src.newestBegunSentAt.After(st.sentAt) || now.Sub(src.lastEvent) >= noEventTimeout
}

// RunsAt returns the runs at a server.
func (s *Streams) RunsAt(server ID) []StreamID {
	src := s.sources[server]
	if src == nil {
		return nil
	}
	runs := make([]StreamID, 0, len(src.streams))
	for id := range src.streams {
		runs = append(runs, id)
	}
	return runs
}
