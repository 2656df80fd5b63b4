package main

import (
	"fmt"
	"io"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// uploaders is the number of consumers of the installation, 13, 15 and 15 in its zones.
	uploaders = 43
	// maxBody is max_body_bytes of the configuration.
	maxBody = 4194304
	// uploadTime is the time in which a consumer sends a body. All together stay below the link's
	// 1,000 Mbit/s.
	uploadTime = 1600 * time.Millisecond
	// calmUploads is the number of those that upload at the same time without the disruption.
	calmUploads = 6
	// orderers is the number of consumers that send orders on kept channels.
	orderers = 24
)

// caseMemory lets all consumers of the installation send a body of the largest allowed size at the
// same time. The platform kills a process that exceeds its memory.
func caseMemory(w *world) (bool, error) {
	w.store.put("op", "config", configuration(1, oneTenant(key), routes()...))
	plain, err := w.runners("plain", 3, false, works(300*time.Millisecond))
	if err != nil {
		return false, err
	}
	if _, err := w.runners("pool", 2, true, shortStream); err != nil {
		return false, err
	}
	g, err := w.gateway("front-a-1")
	if err != nil {
		return false, err
	}
	var peak atomic.Int64
	go watchMemory(w, g, &peak)
	var lost atomic.Int64
	var wait sync.WaitGroup
	stop := make(chan struct{})
	for range orderers {
		wait.Go(func() { orderOnKept(w, g, plain, stop, &lost) })
	}
	time.Sleep(time.Second)
	atOnce := calmUploads
	if w.trouble {
		atOnce = uploaders
	}
	turns := make(chan struct{}, atOnce)
	var uploads sync.WaitGroup
	for range uploaders {
		turns <- struct{}{}
		uploads.Go(func() {
			upload(w, g)
			<-turns
		})
	}
	uploads.Wait()
	time.Sleep(time.Second)
	close(stop)
	wait.Wait()
	w.rec.add("largest anonymous memory %d KiB of %d KiB; %d orders on kept channels were passed on to a sound runner and their channels closed without an answer",
		peak.Load(), memoryMB*1024, lost.Load())
	return lost.Load() > 3, nil
}

// watchMemory does what the platform does to a process that exceeds memory_mb: it kills it.
func watchMemory(w *world, g *gateway, peak *atomic.Int64) {
	for g.running() {
		kb := g.anonKB()
		peak.Store(max(peak.Load(), kb))
		if kb > memoryMB*1024 {
			w.rec.add("the process has %d KiB of anonymous memory, over its limit of %d MiB: the platform kills it", kb, memoryMB)
			g.kill()
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// orderOnKept sends orders on one channel, one after another, and counts those that were passed on
// and whose channel ended without an answer.
func orderOnKept(w *world, g *gateway, plain []*runner, stop <-chan struct{}, lost *atomic.Int64) {
	c, err := open(g.front)
	if err != nil {
		return
	}
	defer c.Close()
	for {
		select {
		case <-stop:
			return
		default:
		}
		id := newID()
		w.rec.add("consumer sends request %s (POST /order/7) on a kept channel", id)
		if _, err := io.WriteString(c, head("POST", "/order/7", id, key, 4000, "Content-Length: 7\r\n")+"pay 100"); err != nil {
			return
		}
		r := c.receive("POST", 5*time.Second)
		w.rec.add("consumer of %s gets %v", id, r)
		if r.err == nil {
			time.Sleep(time.Duration(rand.Intn(50)) * time.Millisecond)
			continue
		}
		// A runner may take note of a request a little later than the channel ends.
		time.Sleep(100 * time.Millisecond)
		if runsOf(plain, id) > 0 {
			lost.Add(1)
			w.rec.add("LOST: request %s was passed on to a sound runner, and its channel closed without an answer", id)
		}
		return
	}
}

// upload sends a request for a draft with a body of the largest allowed size.
func upload(w *world, g *gateway) {
	const pieces = 32
	id := newID()
	c, err := open(g.front)
	if err != nil {
		w.rec.add("consumer of %s: %v", id, err)
		return
	}
	defer c.Close()
	w.rec.add("consumer sends request %s (POST /draft/7) with %d bytes of body", id, maxBody)
	piece := strings.Repeat("x", maxBody/pieces)
	headers := fmt.Sprintf("Wigeonfork-Model: m\r\nWigeonfork-Token-Count: 8000,100\r\nWigeonfork-Prompt-Prefix: %s:8000\r\nContent-Length: %d\r\n", id, maxBody)
	if _, err := io.WriteString(c, head("POST", "/draft/7", id, key, 25000, headers)); err != nil {
		w.rec.add("consumer of %s: %v", id, err)
		return
	}
	for range pieces {
		if _, err := io.WriteString(c, piece); err != nil {
			w.rec.add("consumer of %s: %v", id, err)
			return
		}
		time.Sleep(uploadTime / pieces)
	}
	w.rec.add("consumer of %s gets %v", id, c.receive("POST", 26*time.Second))
}

// shortStream is a stream of a model runner: the prompt takes a second, then come three events.
func shortStream(r *runner, q *asked) []byte {
	time.Sleep(time.Second)
	header := r.signed(q)
	header["Content-Type"] = "text/event-stream"
	text := ""
	for i := 1; i <= 3; i++ {
		text += fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, q.id)
	}
	return httpAnswer(200, header, text)
}
