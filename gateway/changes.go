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
	event    directory.EventKind
	service  wigeonfork.Model
	lapsed   bool
	draining bool
}

// logChanges writes one log line per kind of change and not per server, since the
// servers of a failure domain usually come and go together.
func logChanges(log *telemetry.Logger, events []directory.Event) {
	counts := make(map[changeKind]int)
	serverLists := make(map[changeKind]*strings.Builder)
	var order []changeKind
	for _, event := range events {
		kind := changeKind{event.Kind, event.Entry.Service, event.Lapsed, event.Entry.Draining}
		if serverLists[kind] == nil {
			serverLists[kind] = &strings.Builder{}
			order = append(order, kind)
		}
		counts[kind]++
		if counts[kind] > maxServersPerLine {
			continue
		}
		if counts[kind] > 1 {
			serverLists[kind].WriteByte(',')
		}
		serverLists[kind].WriteString(string(event.Entry.ID) + "@" + event.Entry.Address)
	}
	for _, kind := range order {
		log.Info().Str("change", kind.event.String()).Str("service", string(kind.service)).Bool("lapsed", kind.lapsed).
			Bool("draining", kind.draining).Int("count", counts[kind]).Str("servers", serverLists[kind].String()).Msg("servers_changed")
	}
}
