package main

import (
	"math/rand"
	"sync"
	"sync/atomic"
	"time"
)

// key is the API key that the first configuration holds.
const key = "n2ctnfzs989anu6wsjnb"

// routes returns the routes of the first configuration: orders that may run once, look-ups and
// drafts of a language model.
func routes() []object {
	return []object{
		route("order", "/order/", "unsafe", "plain", 4000, 1, false),
		route("lookup", "/lookup/", "safe", "plain", 4000, 2, false),
		route("draft", "/draft/", "streaming", "pool", 25000, 5, true),
	}
}

// answerTo is the body of a runner's answer to a request.
func answerTo(id string) string { return "answer to " + id }

// works returns how a sound back end answers after its work.
func works(work time.Duration) func(*runner, *asked) []byte {
	return func(r *runner, q *asked) []byte {
		time.Sleep(work)
		return httpAnswer(200, r.signed(q), answerTo(q.id))
	}
}

// consumers are callers that send requests at the same time until a moment. Each sends its next
// request after its last one has ended and a short pause.
type consumers struct {
	count  int
	until  time.Time
	method string
	path   string
	body   string
	// deadlineMs is how long a consumer waits, and more holds further lines of the head.
	deadlineMs int
	more       func(id string) string
}

// run sends the requests on new channels to a gateway and passes each result to seen.
func (c consumers) run(w *world, g *gateway, seen func(id string, r *result)) int64 {
	var sent atomic.Int64
	var wait sync.WaitGroup
	for range c.count {
		wait.Go(func() {
			for time.Now().Before(c.until) {
				id := newID()
				more := ""
				if c.more != nil {
					more = c.more(id)
				}
				r := exchange(w.rec, g.front, c.method, c.path, id, key, c.deadlineMs, more, c.body)
				sent.Add(1)
				seen(id, r)
				time.Sleep(time.Duration(50+rand.Intn(100)) * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return sent.Load()
}

// runsOf returns how often a request has run at some runners.
func runsOf(runners []*runner, id string) int {
	n := 0
	for _, r := range runners {
		n += r.runs(id)
	}
	return n
}

// orders are consumers that send orders, which may run once.
func orders(count int, length time.Duration) consumers {
	return consumers{count: count, until: time.Now().Add(length), method: "POST", path: "/order/7", body: "pay 100", deadlineMs: 1000}
}

// drafts are consumers that ask a language model for drafts.
func drafts(count int, length time.Duration) consumers {
	more := func(id string) string {
		return "Wigeonfork-Model: m\r\nWigeonfork-Token-Count: 800,100\r\nWigeonfork-Prompt-Prefix: " + id + ":800\r\n"
	}
	return consumers{count: count, until: time.Now().Add(length), method: "POST", path: "/draft/7", body: "draft", deadlineMs: 25000, more: more}
}

// isMixed reports whether a consumer got a success without a runner's signature, or with another
// body than the runner's.
func isMixed(runners []*runner, id string, r *result) bool {
	if r.status/100 != 2 || r.err != nil {
		return false
	}
	for _, runner := range runners {
		if r.header.Get("Wigeonfork-Response-Signature") == signature(runner.id, id) {
			return r.body != answerTo(id)
		}
	}
	return true
}
