package main

import "time"

// caseNoTenants takes away the last tenant with all its keys, and then sends requests with the key
// that was taken away and with a key that no configuration ever held.
func caseNoTenants(w *world) (bool, error) {
	const never = "zzzzzzzzzzzzzzzzzzzz"
	w.store.put("op", "config", configuration(1, oneTenant(key), routes()...))
	runners, err := w.runners("plain", 3, false, works(15*time.Millisecond))
	if err != nil {
		return false, err
	}
	g, err := w.gateway("front-a-1")
	if err != nil {
		return false, err
	}
	exchange(w.rec, g.front, "POST", "/order/7", newID(), key, 1000, "", "pay 100")
	exchange(w.rec, g.front, "POST", "/order/7", newID(), never, 1000, "", "pay 100")
	if w.trouble {
		w.store.put("op", "config", configuration(2, []object{}, routes()...))
		w.rec.add("the store has acknowledged version 2, in which the list tenants is empty")
	}
	// revoke_ms is 5,000.
	time.Sleep(7 * time.Second)
	broken := false
	for range 5 {
		id := newID()
		exchange(w.rec, g.front, "POST", "/order/7", id, never, 1000, "", "pay 100")
		if runsOf(runners, id) > 0 {
			w.rec.add("ROUTE: request %s has run, with a key that no configuration ever held", id)
			broken = true
		}
		if !w.trouble {
			continue
		}
		id = newID()
		exchange(w.rec, g.front, "POST", "/order/7", id, key, 1000, "", "pay 100")
		if runsOf(runners, id) > 0 {
			w.rec.add("CONFIG: request %s has run, with a key that was taken away 7 s before", id)
			broken = true
		}
	}
	return broken, nil
}
