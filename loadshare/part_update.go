package loadshare

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/quarantine"
)

const (
	// MaxPartReports bounds the reports in one PartUpdate, and maxReportParts the parts in one report,
	// so that its datagram fits the MTU of every path.
	MaxPartReports = 6
	maxReportParts = 8
)

// PartUpdate reports crashes of backend servers by parts of prompts, and what follows from them. It has
// a datagram version of its own, so that entries of earlier versions ignore it.
type PartUpdate struct {
	Reports []PartReport `cbor:"1,keyasint"`
}

// PartReportKind is the kind of a PartReport.
type PartReportKind uint8

// The kinds of reports.
const (
	// ReportPartCrash reports a crash that counts against Parts.
	ReportPartCrash PartReportKind = iota + 1
	// ReportPartBegin reports a run that began with Parts at Age.
	ReportPartBegin
	// ReportPartQuarantine reports a quarantine of prompts that hold all Parts, since Age.
	ReportPartQuarantine
)

// PartReport is one report on parts of prompts. Clocks of entries differ, so times are ages.
type PartReport struct {
	Kind  PartReportKind      `cbor:"1,keyasint"`
	Parts []quarantine.PartID `cbor:"2,keyasint"`
	// Age is the time since the event when the report was sent.
	Age time.Duration `cbor:"3,keyasint"`
	// Content, Server and WithOthers are those of a crash.
	Content    quarantine.ContentHash `cbor:"4,keyasint,omitempty"`
	Server     quarantine.ServerStart `cbor:"5,keyasint,omitempty"`
	WithOthers bool                   `cbor:"6,keyasint,omitempty"`
	// Trials is that of a quarantine.
	Trials int `cbor:"7,keyasint,omitempty"`
	// Passes is how often the report was passed on. Builds that don't count leave it out.
	Passes uint8 `cbor:"8,keyasint,omitempty"`
}

// PassedOn returns the report as an entry to which it is new passes it on, and false if it must not.
func (r PartReport) PassedOn() (PartReport, bool) {
	if !mayPassOn(r.Passes) {
		return r, false
	}
	r.Passes++
	return r, true
}

// PartCrashOf returns the reports of a crash, several if it has many parts.
func PartCrashOf(now time.Time, c *quarantine.PartCrash) []PartReport {
	r := PartReport{Kind: ReportPartCrash, Age: now.Sub(c.At), Content: c.Content, Server: c.Server, WithOthers: c.WithOthers}
	return r.split(c.Parts)
}

// PartBeginOf returns the reports of a run that began.
func PartBeginOf(now time.Time, b quarantine.PartBegin) []PartReport {
	r := PartReport{Kind: ReportPartBegin, Age: now.Sub(b.At)}
	return r.split(b.Parts)
}

// PartQuarantineOf returns the report of a quarantine.
func PartQuarantineOf(now time.Time, q *quarantine.PartQuarantine) PartReport {
	return PartReport{Kind: ReportPartQuarantine, Parts: q.Parts, Age: now.Sub(q.Since), Trials: q.Trials}
}

// split returns copies of the report for at most maxReportParts parts each.
func (r *PartReport) split(parts []quarantine.PartID) []PartReport {
	var list []PartReport
	for len(parts) > 0 {
		n := min(len(parts), maxReportParts)
		one := *r
		one.Parts = parts[:n]
		list = append(list, one)
		parts = parts[n:]
	}
	return list
}

// Crash returns the crash of a report that arrived now.
func (r *PartReport) Crash(now time.Time) quarantine.PartCrash {
	return quarantine.PartCrash{Content: r.Content, Server: r.Server, Parts: r.Parts, At: r.at(now), WithOthers: r.WithOthers}
}

// Begin returns the begin of a report that arrived now.
func (r *PartReport) Begin(now time.Time) quarantine.PartBegin {
	return quarantine.PartBegin{Parts: r.Parts, At: r.at(now), Told: true}
}

// Quarantine returns the quarantine of a report that arrived now.
func (r *PartReport) Quarantine(now time.Time) quarantine.PartQuarantine {
	return quarantine.PartQuarantine{Parts: r.Parts, Since: r.at(now), Trials: max(r.Trials, 0)}
}

func (r *PartReport) at(now time.Time) time.Time { return now.Add(-max(r.Age, 0)) }

// AppendPartUpdate appends the encoding of a datagram with a part update from the listener at port.
func AppendPartUpdate(buf []byte, port uint16, u *PartUpdate) ([]byte, error) {
	datagram, err := appendUpdate(buf, partUpdateVersion, port, u)
	return datagram, errors.Wrap(err, "encode part update")
}

// IsPartUpdate reports whether a datagram holds a part update.
func IsPartUpdate(data []byte) bool {
	return len(data) > headerSize && data[0] == partUpdateVersion
}

// ParsePartUpdate decodes a datagram for which IsPartUpdate holds. It returns the address of the
// sender's listener and the update.
func ParsePartUpdate(data []byte, from netip.AddrPort) (netip.AddrPort, *PartUpdate, error) {
	u := &PartUpdate{}
	sender, err := parseUpdate(data, from, u)
	if err == nil && len(u.Reports) > MaxPartReports {
		err = errors.Newf("%d reports", len(u.Reports))
	}
	for i := range u.Reports {
		if n := len(u.Reports[i].Parts); err == nil && (n == 0 || n > maxReportParts) {
			err = errors.Newf("report on %d parts", n)
		}
	}
	return sender, u, errors.Wrap(err, "decode part update")
}
