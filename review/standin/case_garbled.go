package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Of the answers of one of three runners, one in garbledEvery is replaced by bytes that are not its
// answer, for garbledFor.
const (
	garbledEvery = 20
	garbledFor   = 6500 * time.Millisecond
)

// garble returns bytes that are not the answer of a runner: they have neither the request's id nor
// a signature. The connection ends after them if closes is set.
func garble(kind int64, body string) (garbage string, closes bool) {
	switch kind % 3 {
	case 0:
		return "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ngarbage", false
	case 1:
		return "HTTP/1.1 200 OK\r\n\r\ngarbage", true
	}
	// The runner's answer without the lines of its head that follow the length.
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), false
}

// caseGarbled lets a faulty runner send bytes that are not its answer.
func caseGarbled(w *world) (bool, error) {
	w.store.put("op", "config", configuration(1, oneTenant(key), routes()...))
	var answers, garbled atomic.Int64
	began := time.Now().Add(time.Hour)
	runners, err := w.runners("plain", 3, false, func(r *runner, q *asked) []byte {
		answer := works(15*time.Millisecond)(r, q)
		faulty := w.trouble && r.id == "i-plain-1" && time.Since(began) >= 0 && time.Since(began) < garbledFor
		if faulty && answers.Add(1)%garbledEvery == 0 {
			garbage, closes := garble(garbled.Add(1), answerTo(q.id))
			w.rec.add("runner %s answers request %s with bytes that are not its answer: %q", r.id, q.id, garbage)
			if closes {
				io.WriteString(q.conn, garbage)
				return nil
			}
			return []byte(garbage)
		}
		return answer
	})
	if err != nil {
		return false, err
	}
	g, err := w.gateway("front-a-1")
	if err != nil {
		return false, err
	}
	began = time.Now().Add(time.Second)
	var broken atomic.Int64
	sent := orders(12, 9*time.Second).run(w, g, func(id string, r *result) {
		if isMixed(runners, id, r) {
			broken.Add(1)
		}
	})
	w.rec.add("%d orders sent; %d answers garbled; %d successes without a runner's signature", sent, garbled.Load(), broken.Load())
	return broken.Load() > 0, nil
}
