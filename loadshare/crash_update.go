package loadshare

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/quarantine"
)

// MaxCrashReports bounds the reports in one CrashUpdate, so that its datagram fits the MTU of every
// path.
const MaxCrashReports = 16

// forwardFanout is the number of peers to which an entry forwards a report that is new to it. It
// makes up for lost datagrams and reaches entries beyond MaxTargets.
const forwardFanout = 6

// ForwardTargets chooses the peers to which a report is forwarded at random from those that receive
// the entry's messages. It reorders targets.
func ForwardTargets(targets []netip.AddrPort) []netip.AddrPort {
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(forwardFanout, len(targets))]
}

// CrashUpdate reports crashes of backend servers by requests, and what follows from them. It has a
// datagram version of its own, so that entries of earlier versions ignore it.
type CrashUpdate struct {
	// StateWanted asks the receiver for the crashes and quarantines that it knows.
	StateWanted bool          `cbor:"1,keyasint,omitempty"`
	Reports     []CrashReport `cbor:"2,keyasint,omitempty"`
}

// ReportKind is the kind of a CrashReport.
type ReportKind uint8

// The kinds of reports.
const (
	// ReportCrash reports a crash.
	ReportCrash ReportKind = iota + 1
	// ReportQuarantine reports a quarantine since Age.
	ReportQuarantine
	// ReportCompletion reports a complete run at Age.
	ReportCompletion
	// ReportLoss reports a lost run that does not count, or whose outcome is not known yet, with the
	// fields of a crash.
	ReportLoss
	// ReportBegin reports a run that began to answer at Age.
	ReportBegin
)

// CrashReport is one report on a request. Clocks of entries differ, so times are ages.
type CrashReport struct {
	Kind    ReportKind             `cbor:"1,keyasint"`
	Content quarantine.ContentHash `cbor:"2,keyasint"`
	// Age is the time since the event when the report was sent.
	Age time.Duration `cbor:"3,keyasint"`
	// Server and Ran are those of a crash. Ran is how long the run took.
	Server quarantine.ServerStart `cbor:"4,keyasint,omitempty"`
	Ran    time.Duration          `cbor:"5,keyasint,omitempty"`
	// Begun is set if the run of a crash had begun to answer, and Trial if it was a trial.
	Begun bool `cbor:"6,keyasint,omitempty"`
	Trial bool `cbor:"7,keyasint,omitempty"`
	// Confirmed is set if the server of a loss is known to be lost.
	Confirmed bool `cbor:"8,keyasint,omitempty"`
	// Passes is how often the report was passed on. Builds that don't count leave it out.
	Passes uint8 `cbor:"9,keyasint,omitempty"`
}

// PassedOn returns the report as an entry to which it is new passes it on, and false if it must not.
func (r CrashReport) PassedOn() (CrashReport, bool) {
	// Losses come often and matter for a moment only.
	if r.Kind == ReportLoss || !mayPassOn(r.Passes) {
		return r, false
	}
	r.Passes++
	return r, true
}

// CrashOf returns the report of a crash.
func CrashOf(now time.Time, c quarantine.Crash) CrashReport {
	return CrashReport{Kind: ReportCrash, Content: c.Content, Age: now.Sub(c.At), Server: c.Server, Ran: c.At.Sub(c.Began), Begun: c.Begun, Trial: c.Trial}
}

// LossOf returns the report of a lost run.
func LossOf(now time.Time, l quarantine.Loss) CrashReport {
	r := CrashOf(now, l.Crash)
	if !l.Counted {
		r.Kind, r.Confirmed = ReportLoss, l.Confirmed
	}
	return r
}

// crash returns the crash that a report tells of, at a time.
func (r *CrashReport) crash(at time.Time) quarantine.Crash {
	return quarantine.Crash{Content: r.Content, Server: r.Server, Began: at.Add(-max(r.Ran, 0)), At: at, Begun: r.Begun, Trial: r.Trial}
}

// QuarantineOf returns the report of a quarantine.
func QuarantineOf(now time.Time, q quarantine.Quarantine) CrashReport {
	return CrashReport{Kind: ReportQuarantine, Content: q.Content, Age: now.Sub(q.Since)}
}

// CompletionOf returns the report of a complete run.
func CompletionOf(now time.Time, c quarantine.Completion) CrashReport {
	return CrashReport{Kind: ReportCompletion, Content: c.Content, Age: now.Sub(c.At)}
}

// BeginOf returns the report of a run that began to answer.
func BeginOf(now time.Time, c quarantine.Completion) CrashReport {
	return CrashReport{Kind: ReportBegin, Content: c.Content, Age: now.Sub(c.At)}
}

// Apply applies a report that arrived now to a Limiter and returns whether it is new there.
func (r *CrashReport) Apply(now time.Time, l *quarantine.Limiter) bool {
	at := now.Add(-max(r.Age, 0))
	switch r.Kind {
	case ReportCrash:
		return l.Merge(now, r.crash(at))
	case ReportLoss:
		return l.MergeLoss(now, quarantine.Loss{Crash: r.crash(at), Confirmed: r.Confirmed})
	case ReportQuarantine:
		return l.MergeQuarantine(now, quarantine.Quarantine{Content: r.Content, Since: at})
	case ReportCompletion:
		return l.Complete(quarantine.Completion{Content: r.Content, At: at})
	case ReportBegin:
		return l.Begin(quarantine.Completion{Content: r.Content, At: at})
	}
	return false
}

// AppendCrashUpdate appends the encoding of a datagram with a crash update from the listener at
// port.
func AppendCrashUpdate(buf []byte, port uint16, u *CrashUpdate) ([]byte, error) {
	datagram, err := appendUpdate(buf, crashUpdateVersion, port, u)
	return datagram, errors.Wrap(err, "encode crash update")
}

// IsCrashUpdate reports whether a datagram holds a crash update.
func IsCrashUpdate(data []byte) bool {
	return len(data) > headerSize && data[0] == crashUpdateVersion
}

// ParseCrashUpdate decodes a datagram for which IsCrashUpdate holds. It returns the address of the
// sender's listener and the update.
func ParseCrashUpdate(data []byte, from netip.AddrPort) (netip.AddrPort, *CrashUpdate, error) {
	u := &CrashUpdate{}
	sender, err := parseUpdate(data, from, u)
	return sender, u, errors.Wrap(err, "decode crash update")
}
