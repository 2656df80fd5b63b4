package gateway

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/routing"
)

// startedMessage returns the message that reports a send. It reports no prompt tokens
// if the server has a copy of the KV cache, since it need not read the prompt.
func startedMessage(id serverID, work routing.Work, hasCopy, repeated bool) loadshare.Message {
	kind := loadshare.Started
	if repeated {
		kind = loadshare.Repeated
	}
	m := loadshare.Message{Kind: kind, Server: loadshare.HashServer(id), Tokens: work.PromptTokens}
	if hasCopy {
		m.Tokens = 0
	}
	if n := len(work.Prefixes); n > 0 {
		m.Value = work.Prefixes[n-1].Hash
	}
	return m
}

// peerStarted records that a peer sent a request to a server. It returns the server's
// service, and false if the server is unknown.
func (f *fleet) peerStarted(now time.Time, m loadshare.Message) (wigeonfork.Model, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok := f.hashes[m.Server]
	if !ok {
		return "", false
	}
	work := routing.Work{PromptTokens: m.Tokens}
	if m.Value != 0 {
		work.Prefixes = []routing.Prefix{{Hash: m.Value, Tokens: m.Tokens}}
	}
	f.router.PeerStarted(now, id, work)
	return f.entries[id].Service, true
}

// announceOccupancy tells the peers that a request has ended at a server, or that the server keeps or has dropped a copy.
// It does nothing if the memory of the server is not counted.
func (f *fleet) announceOccupancy(kind loadshare.Kind, id serverID, work *routing.Work) {
	if !f.router.CountsRoom(id) {
		return
	}
	m := loadshare.Message{Kind: kind, Server: loadshare.HashServer(id), Tokens: work.PromptTokens + work.MaxTokens}
	if n := len(work.Prefixes); n > 0 {
		m.Value = work.Prefixes[n-1].Hash
	}
	f.announce(m)
}

// peerOccupancy applies a peer's message that a request has ended, or that a copy is kept or was dropped.
func (f *fleet) peerOccupancy(now time.Time, m loadshare.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok := f.hashes[m.Server]
	switch {
	case !ok:
	case m.Kind == loadshare.Ended:
		f.router.PeerEnded(now, id, m.Value)
	case m.Kind == loadshare.CopyKept:
		f.router.PeerCopyKept(now, id, m.Value, m.Tokens)
	default:
		f.router.PeerCopyDropped(id, m.Value)
	}
}

// speedMessage returns the message that reports a server's measured speed, and false
// if the server has no speed sample.
func (f *fleet) speedMessage(id serverID) (loadshare.Message, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	gap, rate, ok := f.router.MeasuredSpeed(id)
	return loadshare.Message{
		Kind: loadshare.Speed, Server: loadshare.HashServer(id), Tokens: uint32(gap.Microseconds()), Value: uint64(rate),
	}, ok
}

// peerSpeed applies a server's speed that a peer measured.
func (f *fleet) peerSpeed(now time.Time, m loadshare.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id, ok := f.hashes[m.Server]; ok {
		f.router.PeerSpeed(now, id, time.Duration(m.Tokens)*time.Microsecond, float64(m.Value))
	}
}

// peerResult records how a request of a peer ended.
func (f *fleet) peerResult(now time.Time, m loadshare.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok := f.hashes[m.Server]
	if !ok {
		return
	}
	f.router.PeerProbed(now, id)
	if f.servers.PeerResult(now, id, m.Kind == loadshare.Failed) {
		f.updateRouter(now, id)
	}
}

// peerLost starts a probe of a server that a peer reports lost.
func (f *fleet) peerLost(now time.Time, server loadshare.ServerHash) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id, ok := f.hashes[server]; ok && f.servers.PeerLost(now, id) {
		f.probeSuspect(now, id)
	}
}

// peerAdopted applies a peer's report that another server answers at a lost server's
// address. Without proof that it is of the same service, it is used only once it is registered.
func (f *fleet) peerAdopted(now time.Time, a *loadshare.Adoption, reuseAfter time.Duration) {
	if !directory.ProvesService(a.Since, reuseAfter) {
		return
	}
	f.mu.Lock()
	_, known := f.entries[a.Adopted.ID]
	f.mu.Unlock()
	if !known {
		f.markReplaced(now, a.Lost)
		f.adopt(now, a.Adopted)
	}
}

// peerRecovered schedules an early probe of a server that a peer reports recovered.
func (f *fleet) peerRecovered(now time.Time, server loadshare.ServerHash) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id, ok := f.hashes[server]; ok {
		f.servers.PeerRecovered(now, id)
	}
}

// setPeers sets the number of live peers, which report their sends.
func (f *fleet) setPeers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.SetPeerReports(n > 0)
}
