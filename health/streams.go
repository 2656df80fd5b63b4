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
	// FindingServerSilent: the server is lost with all its streams.
	FindingServerSilent
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
	// Silence is the time without a sign of life that led to the finding.
	Silence time.Duration
}

const (
	// singleSilence is the silence of a server's only stream that means its loss.
	singleSilence = 400 * time.Millisecond
	// jointSilence is the same where several streams are silent at once.
	jointSilence = 260 * time.Millisecond
	// domainSilence is the same shortly after another server of the failure
	// domain was lost.
	domainSilence = 200 * time.Millisecond
	// domainMemory is how long a loss counts as shortly before.
	domainMemory = 1500 * time.Millisecond
	// gapFactor is how many of a server's usual gaps between events it may be
	// silent, within silenceMost.
	gapFactor = 3
	// silenceMost bounds the silence that a slow server is granted; a pause that
	// is longer is late for callers.
	silenceMost = 520 * time.Millisecond
	// quietBefore is the silence of a server without a running stream after which
	// it is probed, and the time between two probes.
	quietBefore = 600 * time.Millisecond
	// probeTimeout is the time that a probe's answer may take.
	probeTimeout = 350 * time.Millisecond
	// stalledGap is the silence of one stream at a server that speaks on others.
	stalledGap = 1500 * time.Millisecond
	// deafServer is the time without any event after which a server that has not
	// begun a stream in time is not merely busy with others.
	deafServer = 5 * time.Second
	// gapWeight is the weight of one gap in a server's usual gap.
	gapWeight = 0.1
)

// ProbeTimeout is the time that the answer to a FindingProbe may take.
const ProbeTimeout = probeTimeout

// stream is one run.
type stream struct {
	server  ID
	begun   bool
	queued  bool
	sent    time.Time
	last    time.Time
	startBy time.Time
}

// source is a server with its running streams.
type source struct {
	domain  wigeonfork.FailureDomain
	streams map[StreamID]*stream
	spoke   time.Time
	event   time.Time // of any stream
	newest  time.Time // when the newest queued stream that has begun was sent
	gap     time.Duration
	begun   int
	probed  time.Time
	silent  bool
}

// Streams watches the runs of all streams for losses that show as silence.
type Streams struct {
	next     StreamID
	streams  map[StreamID]*stream
	sources  map[ID]*source
	lost     map[wigeonfork.FailureDomain]time.Time
	verdicts []Verdict
}

// NewStreams returns an empty Streams.
func NewStreams() *Streams {
	return &Streams{
		streams: make(map[StreamID]*stream),
		sources: make(map[ID]*source),
		lost:    make(map[wigeonfork.FailureDomain]time.Time),
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
		src.spoke, src.event, src.silent = now, now, false
	}
	st := &stream{server: server, queued: queued, sent: now, last: now, startBy: startBy}
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
		src.learn(now.Sub(st.last))
	} else {
		st.begun = true
		src.begun++
		if st.queued && st.sent.After(src.newest) {
			src.newest = st.sent
		}
	}
	st.last, src.spoke, src.event, src.silent = now, now, now, false
}

func (src *source) learn(gap time.Duration) {
	if src.gap == 0 {
		src.gap = gap
		return
	}
	src.gap += time.Duration(gapWeight * float64(gap-src.gap))
}

// Alive records a sign of life of a server, as the answer to a probe.
func (s *Streams) Alive(now time.Time, server ID) {
	if src := s.sources[server]; src != nil {
		src.spoke, src.silent = now, false
	}
}

// ServerLost records the loss of a server, however it was found.
func (s *Streams) ServerLost(now time.Time, domain wigeonfork.FailureDomain) {
	s.lost[domain] = now
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
		if src.silent {
			continue
		}
		silence := now.Sub(src.spoke)
		if src.begun > 0 && silence >= s.limit(now, src) {
			src.silent = true
			s.verdicts = append(s.verdicts, Verdict{Finding: FindingServerSilent, Server: id, Silence: silence})
			continue
		}
		s.probe(now, id, src, silence)
		s.stalled(now, id, src)
	}
	return s.verdicts
}

// limit is the silence at which a server with running streams counts as lost.
func (s *Streams) limit(now time.Time, src *source) time.Duration {
	limit := singleSilence
	if src.begun > 1 {
		limit = jointSilence
	}
	if at, ok := s.lost[src.domain]; ok && now.Sub(at) < domainMemory {
		limit = domainSilence
	}
	return min(max(limit, gapFactor*src.gap), silenceMost)
}

// probe asks for a sign of life of a server whose streams have not begun: their
// silence says nothing while a prompt is read.
func (s *Streams) probe(now time.Time, id ID, src *source, silence time.Duration) {
	if src.begun > 0 || silence < quietBefore || now.Sub(src.probed) < quietBefore {
		return
	}
	src.probed = now
	s.verdicts = append(s.verdicts, Verdict{Finding: FindingProbe, Server: id, Silence: silence})
}

// stalled finds streams that do not go on although their server does.
func (s *Streams) stalled(now time.Time, server ID, src *source) {
	for id, st := range src.streams {
		if !src.stuck(now, st) {
			continue
		}
		s.verdicts = append(s.verdicts, Verdict{Finding: FindingStreamStalled, Server: server, Stream: id, Silence: now.Sub(st.last)})
		st.last, st.startBy = now, now.Add(stalledGap)
	}
}

// stuck tells whether a stream will not go on by itself. One that has not begun
// is stuck if a later one has, or if the server makes no event at all; else it
// waits behind others, and would only wait anew elsewhere.
func (src *source) stuck(now time.Time, st *stream) bool {
	if st.begun {
		return now.Sub(st.last) >= stalledGap
	}
	if now.Before(st.startBy) {
		return false
	}
	return src.newest.After(st.sent) || now.Sub(src.event) >= deafServer
}

// At returns the runs at a server.
func (s *Streams) At(server ID) []StreamID {
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
