// Command standin plays the cases of an independent review. It is the store, the runners and the
// consumers, and starts the project's gateways as processes. It exits with 1 if the rule of the
// case was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// world is what a case has.
type world struct {
	rec     *record
	repo    string
	dir     string
	trouble bool
	store   *store
	stop    chan struct{}
	started []*gateway
}

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

var cases = map[string]func(*world) (broken bool, err error){
	"reuse":     caseReuse,
	"odd-entry": caseOddEntry,
	"memory":    caseMemory,
	"garbled":   caseGarbled,
	"completed": caseCompleted,
}

func main() {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	repo := flag.String("repo", ".", "the repository, with the built programs in target/")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(play(*name, *recordPath, *repo, *trouble))
}

func play(name, recordPath, repo string, trouble bool) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.add("case %s, disruption: %v", name, trouble)
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return 2
	}
	w := &world{rec: rec, repo: repo, dir: dir, trouble: trouble, stop: make(chan struct{})}
	defer w.end()
	time.AfterFunc(maxDuration, func() {
		rec.add("the case took too long")
		w.end()
		os.Exit(2)
	})
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.end()
		os.Exit(2)
	}()
	if w.store, err = startStore(); err != nil {
		return 2
	}
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	broken, err := run(w)
	if keep := os.Getenv("REVIEW_KEEP_LOGS"); keep != "" {
		for _, g := range w.started {
			if data, err := os.ReadFile(dir + "/" + g.name + ".log"); err == nil {
				os.WriteFile(keep+"/"+g.name+".log", data, 0o600)
			}
		}
	}
	switch {
	case err != nil:
		rec.add("the case couldn't run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		rec.add("RESULT: the rule was broken")
		fmt.Println("broken")
		return 1
	}
	rec.add("RESULT: the rule held")
	fmt.Println("held")
	return 0
}

// end kills the processes that were started and removes the temporary folder.
func (w *world) end() {
	for _, g := range w.started {
		g.kill()
	}
	os.RemoveAll(w.dir)
}

// gateway starts a gateway and waits until it is ready.
func (w *world) gateway(name string) (*gateway, error) {
	g, err := newGateway(w.rec, w.repo, w.dir, name, w.store.addr)
	if err != nil {
		return nil, err
	}
	w.started = append(w.started, g)
	return g, g.start()
}

// runners starts count runners of a service.
func (w *world) runners(service string, count int, engine bool, serve func(*runner, *asked) []byte) ([]*runner, error) {
	var list []*runner
	for i := range count {
		r := &runner{id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, version: "v1", engine: engine, rec: w.rec, serve: serve}
		if !engine {
			r.slots = 6
		}
		if err := r.start(w.store, w.stop); err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, nil
}

// object is a JSON object.
type object = map[string]any

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMs, attempts int, resumable bool) object {
	o := object{
		"name": name, "host": "app.example", "prefix": prefix, "kind": kind, "timeout_ms": timeoutMs, "target_latency_ms": 400,
		"priority": 1, "service": service, "max_attempts": attempts, "public": false,
	}
	if kind == "streaming" {
		o["resumable"], o["sticky"], o["target_gap_ms"], o["target_latency_ms"] = resumable, true, 700, 4500
	}
	return o
}

// configuration returns a configuration with the limits of the small installation.
func configuration(version int, tenants any, routes ...object) object {
	c := object{
		"version": version, "routes": routes,
		"services": []object{
			{"name": "plain", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false},
			{"name": "pool", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "engine": object{
				"slots": 64, "kv_tokens": 88000, "kv_token_bytes": 327680, "link_mbps": 200000.0, "moves": true, "backups": false,
				"stride": 5, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 4.0, "models": []object{{"name": "m"}}}},
		},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if tenants != nil {
		c["tenants"] = tenants
	}
	return c
}

// oneTenant is a list of tenants with one that holds the given keys.
func oneTenant(keys ...string) []object {
	if keys == nil {
		keys = []string{}
	}
	return []object{{"name": "tenant-a", "api_keys": keys, "priority": 1}}
}
