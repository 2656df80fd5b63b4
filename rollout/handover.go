package rollout

import "time"

const (
	// peerSilence is the time since the last report of an entry after which it holds up no completion: it has ended or
	// is cut off.
	peerSilence = time.Second
	// maxOverrun bounds the time after the deadline for which streams at old servers hold up the completion.
	maxOverrun = 30 * time.Second
	// ordersFraction is the fraction of the finish margin that is left when other runs hold it up no longer.
	ordersFraction = 0.5
)

// Unrepeatable counts the runs in progress at the old version that may not run again or be resumed. They end with the old
// servers, which stop at the completion.
type Unrepeatable struct {
	// Streams lasts for as long as they are generated, Orders are requests with a single answer.
	Streams uint32 `cbor:"1,keyasint,omitempty"`
	Orders  uint32 `cbor:"2,keyasint,omitempty"`
}

// Handover is how far an entry has left the old version.
type Handover struct {
	// Sequence numbers the reports of a source. The highest one holds.
	Sequence uint32 `cbor:"1,keyasint,omitempty"`
	// Begun is set if the entry sends the old version nothing that the new one can take.
	Begun bool `cbor:"2,keyasint,omitempty"`
	// Left is what still runs at the old version.
	Left Unrepeatable `cbor:"3,keyasint"`
}

// recordHandover records this entry's own handover. It returns whether that has begun, or has nothing left, since the
// last step.
func (m *ServiceMove) recordHandover(now time.Time, left Unrepeatable) bool {
	before := m.own.Handover
	m.own.Handover.Begun = m.handsOver(now)
	m.own.Handover.Left = left
	none := Unrepeatable{}
	return m.own.Handover.Begun && (!before.Begun || before.Left != none && left == none)
}

// HandsOver reports whether this entry hands over as of the last step. Its peers then wait for its reports.
func (m *ServiceMove) HandsOver() bool { return m.stage == StageTrial && m.own.Handover.Begun }

// handsOver reports whether all requests go to the new version, if it can take them, before the move is completed.
func (m *ServiceMove) handsOver(now time.Time) bool {
	return m.stage == StageTrial && m.confirmed && m.timeIsUp(now, 0) && m.unfit() == ""
}

// mergeHandover applies the handover of a peer's report.
func (m *ServiceMove) mergeHandover(now time.Time, source string, known, reported Handover) Handover {
	m.heardAt[source] = now
	if reported.Sequence > known.Sequence {
		return reported
	}
	return known
}

// isHeldUp reports whether the completion must wait for runs at the old version that may not run again. Streams hold it up
// beyond the deadline, since a late completion is better than answers that are cut; orders, and entries that have not
// said that they left the old version, only until shortly before it.
func (m *ServiceMove) isHeldUp(now time.Time) bool {
	streams, others := m.own.Handover.Left.Streams > 0, m.own.Handover.Left.Orders > 0
	for source, report := range m.peers {
		if now.Sub(m.heardAt[source]) > peerSilence {
			continue
		}
		streams = streams || report.Handover.Left.Streams > 0
		others = others || report.Handover.Left.Orders > 0 || !report.Handover.Begun
	}
	left := m.deadline.Sub(now)
	return streams && left > -maxOverrun || others && left > time.Duration(ordersFraction*float64(m.finishMargin()))
}
