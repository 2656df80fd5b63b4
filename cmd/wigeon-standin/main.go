// Command wigeon-standin runs a stand-in for one external system as a process. It
// prints its address as a key=value line.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/standin/hosts"
	"github.com/wigeonfork/wigeonfork/standin/objects"
	"github.com/wigeonfork/wigeonfork/standin/service"
	"github.com/wigeonfork/wigeonfork/standin/table"
	"github.com/wigeonfork/wigeonfork/standin/weights"
)

type settings struct {
	Kind            string        `long:"kind" required:"true" choice:"engine" choice:"service" choice:"table" choice:"objects" choice:"weights" choice:"hosts" description:"External system to simulate"`
	Listen          string        `long:"listen" default:"127.0.0.1:0" description:"IP and port to listen on"`
	Versions        []string      `long:"version" value-name:"MODEL/VERSION" description:"Engine: a loaded version; if none is given, all are loaded"`
	Slots           int           `long:"slots" default:"8" description:"Engine: streams in the batch"`
	TokensPerSecond float64       `long:"tokens-per-second" description:"Engine: rate of one stream; 0 means no limit"`
	PrefillPerToken time.Duration `long:"prefill-per-token" description:"Engine: time for each prompt token that is not cached"`
	BatchSlowdown   float64       `long:"batch-slowdown" description:"Engine: fraction of a token's time that each other stream adds"`
	CacheBlocks     int           `long:"cache-blocks" description:"Engine: size of the prefix cache"`
	BufferFor       time.Duration `long:"buffer-for" default:"30s" description:"Engine: how long a stream without a reader continues"`
	Poison          string        `long:"poison" description:"Engine: text that crashes the engine if a prompt contains it"`
	RestartAfter    time.Duration `long:"restart-after" description:"Engine: delay of the restart after a poison prompt"`
	ChecksFencing   bool          `long:"checks-fencing" description:"Engine: refuse orders with an old fencing number"`
	WeightsAddress  string        `long:"weights-address" description:"Engine: address of the weight store for loads"`
	Weights         []string      `long:"weights" value-name:"MODEL/VERSION" description:"Weights: a version in the store"`
	WeightBytes     int64         `long:"weight-bytes" default:"1048576" description:"Weights: size of each version"`
	WeightRate      int64         `long:"weight-rate" default:"1073741824" description:"Weights: bytes per second of all readers together"`
	Lag             time.Duration `long:"lag" description:"Hosts: lag of the list"`
	WritesPerSecond float64       `long:"writes-per-second" description:"Table: write limit; 0 means no limit"`
	ReadsPerSecond  float64       `long:"reads-per-second" description:"Table: read limit; 0 means no limit"`
}

// server is a running stand-in.
type server interface {
	Addr() string
	Close()
}

func main() {
	var s settings
	if _, err := flags.Parse(&s); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(s settings) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	started, err := start(s)
	if err != nil {
		return err
	}
	defer started.Close()
	fmt.Printf("event=listening kind=%s address=%s\n", s.Kind, started.Addr())
	<-stop
	return nil
}

func start(s settings) (server, error) {
	switch s.Kind {
	case "engine":
		return startEngine(s)
	case "service":
		return service.New().Start(s.Listen)
	case "table":
		t := table.New()
		t.SetLimits(s.WritesPerSecond, s.ReadsPerSecond)
		return t.Start(s.Listen)
	case "objects":
		return objects.New().Start(s.Listen)
	case "weights":
		return startWeights(s)
	case "hosts":
		return hosts.New(s.Lag).Start(s.Listen)
	default:
		return nil, errors.Newf("unknown kind %q", s.Kind)
	}
}

func startEngine(s settings) (server, error) {
	options := engine.Options{
		AnyVersion: len(s.Versions) == 0, Slots: s.Slots,
		TokensPerSecond: s.TokensPerSecond, BatchSlowdown: s.BatchSlowdown,
		PrefillPerToken: s.PrefillPerToken, CacheBlocks: s.CacheBlocks, BufferFor: s.BufferFor,
		Poison: s.Poison, RestartAfter: s.RestartAfter,
		ChecksFencing: s.ChecksFencing, WeightsAddress: s.WeightsAddress,
	}
	for _, name := range s.Versions {
		model, version, err := splitVersion(name)
		if err != nil {
			return nil, err
		}
		options.Versions = append(options.Versions, backend.LoadedVersion{Model: model, Version: version})
	}
	return engine.Start(s.Listen, options)
}

func startWeights(s settings) (server, error) {
	store := weights.New(s.WeightRate)
	for _, name := range s.Weights {
		model, version, err := splitVersion(name)
		if err != nil {
			return nil, err
		}
		store.Set(model, version, s.WeightBytes)
	}
	return store.Start(s.Listen)
}

func splitVersion(name string) (wigeonfork.Model, wigeonfork.Version, error) {
	model, version, found := strings.Cut(name, "/")
	if !found || model == "" || version == "" {
		return "", "", errors.Newf("%q is not MODEL/VERSION", name)
	}
	return wigeonfork.Model(model), wigeonfork.Version(version), nil
}
