package gateway

import (
	"strings"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// maxServersPerLine bounds the servers named in one log line. The rest are only
// counted.
const maxServersPerLine = 60

// changeKind is the key by which changes are grouped into log lines.
type changeKind struct {
	kind     directory.EventKind
	service  wigeonfork.Model
	lapsed   bool
	draining bool
}

// logChanges writes one log line for each kind of change, since the servers of a
// failure domain usually come and go together.
func logChanges(log *telemetry.Logger, events []directory.Event) {
	counts := make(map[changeKind]int)
	named := make(map[changeKind]*strings.Builder)
	var order []changeKind
	for _, event := range events {
		kind := changeKind{event.Kind, event.Entry.Service, event.Lapsed, event.Entry.Draining}
		if named[kind] == nil {
			named[kind] = &strings.Builder{}
			order = append(order, kind)
		}
		counts[kind]++
		if counts[kind] > maxServersPerLine {
			continue
		}
		if counts[kind] > 1 {
			named[kind].WriteByte(',')
		}
		named[kind].WriteString(string(event.Entry.ID) + "@" + event.Entry.Address)
	}
	for _, kind := range order {
		log.Info().Str("change", kind.kind.String()).Str("service", string(kind.service)).Bool("lapsed", kind.lapsed).
			Bool("draining", kind.draining).Int("count", counts[kind]).Str("servers", named[kind].String()).Msg("servers_changed")
	}
}
