package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// draftConsumers is the number of consumers of the installation, 13, 15 and 15 in its zones, and
	// draftEvery the time between two of their drafts: 6.25 a second over all, as on the sheet.
	draftConsumers = 43
	draftEvery     = 160 * time.Millisecond
	// maxBody is max_body_bytes of the configuration. It is sent in uploadPieces over uploadTime.
	maxBody      = 4194304
	uploadPieces = 16
	uploadTime   = 320 * time.Millisecond
	// Of a draft, the prompt takes promptTime and the events eventsTime.
	promptTime = 1500 * time.Millisecond
	eventsTime = 6 * time.Second
	fronts     = 4
)

// caseMemory lets all fronts but one be lost while consumers send drafts at the rate of the sheet,
// with bodies of the largest allowed size. The platform kills a process that exceeds its memory.
func caseMemory(w *world) (bool, error) {
	w.store.put("op", "config", configuration(1, oneTenant(key), routes()...))
	if _, err := w.runners("plain", 3, false, works(15*time.Millisecond)); err != nil {
		return false, err
	}
	pool, err := w.runners("pool", 8, true, draftStream)
	if err != nil {
		return false, err
	}
	var gateways []*gateway
	peaks := make([]atomic.Int64, fronts)
	for i := range fronts {
		g, err := w.gateway(fmt.Sprintf("front-a-%d", i+1))
		if err != nil {
			return false, err
		}
		gateways = append(gateways, g)
		go watchMemory(w, g, &peaks[i])
	}
	if w.trouble {
		time.AfterFunc(4*time.Second, func() {
			for _, g := range gateways[1:] {
				w.rec.add("%s is lost", g.name)
				g.kill()
			}
		})
	}
	d := &draftRun{w: w, survivor: gateways[0], pool: pool}
	turns := make(chan struct{})
	var wait sync.WaitGroup
	for i := range draftConsumers {
		wait.Go(func() { d.consume(gateways[i%fronts], turns) })
	}
	for end := time.Now().Add(16 * time.Second); time.Now().Before(end) && gateways[0].running(); time.Sleep(draftEvery) {
		select {
		case turns <- struct{}{}:
		default:
			// All consumers wait for their drafts.
		}
	}
	close(turns)
	wait.Wait()
	w.rec.add("largest anonymous memory of front-a-1: %d KiB of %d KiB; %d drafts served; on kept channels of front-a-1, %d requests were passed on to a sound runner and their channels closed without any answer, %d more within the answer",
		peaks[0].Load(), memoryMB*1024, d.served.Load(), d.unanswered.Load(), d.cut.Load())
	return d.unanswered.Load() > 3, nil
}

// watchMemory does what the platform does to a process that exceeds memory_mb: it kills it.
func watchMemory(w *world, g *gateway, peak *atomic.Int64) {
	for g.running() {
		kb := g.anonKB()
		peak.Store(max(peak.Load(), kb))
		if kb > memoryMB*1024 {
			w.rec.add("%s has %d KiB of anonymous memory, over its limit of %d MiB: the platform kills it", g.name, kb, memoryMB)
			g.kill()
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// draftRun counts how the drafts ended at the front that is not lost.
type draftRun struct {
	w                       *world
	survivor                *gateway
	pool                    []*runner
	served, unanswered, cut atomic.Int64
}

// consume sends a draft at each turn on a kept channel to a front, or to the one that is left once
// that is lost.
func (d *draftRun) consume(g *gateway, turns <-chan struct{}) {
	var c *channel
	for range turns {
		if !g.running() {
			if g = d.survivor; !g.running() {
				continue
			}
			c = nil
		}
		if c == nil {
			if c = d.open(g); c == nil {
				continue
			}
		}
		if !d.draft(g, c) {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// open opens a channel and sends a first, small request on it. It returns nil if that fails.
func (d *draftRun) open(g *gateway) *channel {
	c, err := open(g.front)
	if err != nil {
		return nil
	}
	id := newID()
	io.WriteString(c, head("GET", "/lookup/7", id, key, 1000, ""))
	r := c.receive("GET", 2*time.Second)
	d.w.rec.add("consumer sends request %s (GET /lookup/7) to %s on a new channel and gets %v", id, g.name, r)
	if r.status != 200 {
		c.Close()
		return nil
	}
	return c
}

// draft sends one draft and returns whether the channel can be used again.
func (d *draftRun) draft(g *gateway, c *channel) bool {
	id := newID()
	d.w.rec.add("consumer sends request %s (POST /draft/7) with %d bytes of body to %s on a kept channel", id, maxBody, g.name)
	headers := fmt.Sprintf("Wigeonfork-Model: m\r\nWigeonfork-Token-Count: 8000,700\r\nWigeonfork-Prompt-Prefix: %s:8000\r\nContent-Length: %d\r\n", id, maxBody)
	io.WriteString(c, head("POST", "/draft/7", id, key, 25000, headers))
	piece := strings.Repeat("x", maxBody/uploadPieces)
	for range uploadPieces {
		if _, err := io.WriteString(c, piece); err != nil {
			break
		}
		time.Sleep(uploadTime / uploadPieces)
	}
	r := c.receive("POST", 26*time.Second)
	d.w.rec.add("consumer of %s gets %v", id, r)
	switch {
	case r.err == nil && r.status == 200:
		d.served.Add(1)
	case r.err != nil && g == d.survivor && runsOf(d.pool, id) > 0 && r.status == 0:
		d.unanswered.Add(1)
		d.w.rec.add("LOST: request %s was passed on to a sound runner, and its channel closed without an answer", id)
	case r.err != nil && g == d.survivor && runsOf(d.pool, id) > 0:
		d.cut.Add(1)
	}
	return r.err == nil
}

// draftStream is a draft of a model runner.
func draftStream(r *runner, q *asked) []byte {
	time.Sleep(promptTime)
	return streamOf(r, q, int(eventsTime/eventGap))
}
