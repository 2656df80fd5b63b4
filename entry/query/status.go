// Package query holds the operations that only read an entry's state.
package query

import (
	"context"
	"sync/atomic"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/admission"
	"github.com/wigeonfork/wigeonfork/entry/fleet"
	"github.com/wigeonfork/wigeonfork/entry/gate"
	"github.com/wigeonfork/wigeonfork/entry/session"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/template"
)

// Configuration returns the active snapshot, or nil if there is none yet.
type Configuration interface {
	Snapshot() *template.Snapshot
}

// Status reports the state of an entry.
type Status struct {
	Host          wigeonfork.HostID
	Domain        wigeonfork.FailureDomain
	Answers       *session.Table
	Fleet         *fleet.Fleet
	Gate          *gate.Gate
	Configuration Configuration

	leaving atomic.Bool
}

// SetLeaving records that the entry accepts no new requests.
func (s *Status) SetLeaving() { s.leaving.Store(true) }

// Leaving reports whether the entry accepts no new requests.
func (s *Status) Leaving() bool { return s.leaving.Load() }

// Dump is the state of an entry. It holds no prompts, answers or secrets.
type Dump struct {
	Host           wigeonfork.HostID        `json:"host"`
	Domain         wigeonfork.FailureDomain `json:"failure_domain"`
	Leaving        bool                     `json:"leaving"`
	Revision       wigeonfork.Revision      `json:"revision"`
	Admission      admission.Stats          `json:"admission"`
	Quarantine     quarantine.Stats         `json:"quarantine"`
	BackendServers []fleet.Summary          `json:"backend_servers"`
	Answers        []session.Summary        `json:"answers"`
}

// Dump returns the state of the entry.
func (s *Status) Dump(context.Context, *peer.Session, peer.None) (Dump, error) {
	dump := Dump{Host: s.Host, Domain: s.Domain, Leaving: s.Leaving(), BackendServers: s.Fleet.Summaries()}
	dump.Admission, dump.Quarantine = s.Gate.Stats()
	if snapshot := s.Configuration.Snapshot(); snapshot != nil {
		dump.Revision = snapshot.Revision()
	}
	for _, answer := range s.Answers.All() {
		dump.Answers = append(dump.Answers, answer.Summary())
	}
	return dump, nil
}
