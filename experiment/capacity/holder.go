package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/lease"
	"github.com/wigeonfork/wigeonfork/moves"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/standin/table"
)

// Names of the costs of a lease holder.
const (
	costLeaseReads  = "lease reads"
	costLeaseWrites = "lease writes"
	costEvidence    = "evidence of an entry"
	costMerge       = "merge the reports of a second"
	costStep        = "one look at a move"
	costMoveMemory  = "move and judge memory"
)

const (
	// contendersPerLease is the number of entries that compete for each lease.
	contendersPerLease = 3
	// stepsPerSecond is the rate at which a driver steps its move.
	stepsPerSecond = 5
)

func measureHolder(c *costs, seed uint64) {
	measureLeases(c)
	measureEvidence(c, seed)
	measureMerge(c, seed)
	measureMove(c)
}

// contender is one entry that competes for a lease.
type contender struct {
	holder *lease.Holder
	table  infra.Table
}

func (c *contender) step(now time.Time, event lease.Event) {
	for _, action := range c.holder.Step(now, event) {
		switch a := action.(type) {
		case lease.Read:
			row, err := c.table.Get(context.Background(), a.Key)
			c.step(now, lease.ReadDone{Row: row, Err: err})
		case lease.Commit:
			commit, err := c.table.Commit(context.Background(), a.Transaction)
			c.step(now, lease.CommitDone{OperationID: a.Transaction.OperationID, Commit: commit, Err: err})
		}
	}
}

// leaseLoad returns the table's reads and writes a second for the given number of
// leases.
func leaseLoad(leases int) (reads, writes float64, err error) {
	const (
		seconds = 120
		tick    = 100 * time.Millisecond
	)
	t := table.New()
	var all []*contender
	for i := range leases * contendersPerLease {
		config := lease.Config{Scope: fmt.Sprint(i / contendersPerLease), Owner: fmt.Sprint(i)}
		holder, err := lease.NewHolder(config)
		if err != nil {
			return 0, 0, err
		}
		all = append(all, &contender{holder, t})
	}
	run := func(from, to time.Time) {
		for now := from; now.Before(to); now = now.Add(tick) {
			for _, c := range all {
				c.step(now, lease.Tick{})
			}
		}
	}
	warm := startTime.Add(seconds * time.Second)
	run(startTime, warm)
	before := t.Counters()
	run(warm, warm.Add(seconds*time.Second))
	after := t.Counters()
	return float64(after.Reads-before.Reads) / seconds, float64(after.Writes-before.Writes) / seconds, nil
}

func measureLeases(c *costs) {
	sizes := []int{1, 10, 100}
	s := series{role: roleHolder, name: costLeaseReads, unit: "reads/s", sizeUnit: "leases", designSize: designModels}
	c.add(s, sizes, func(leases int) (float64, error) {
		reads, _, err := leaseLoad(leases)
		return reads, err
	})
	s.name, s.unit = costLeaseWrites, "writes/s"
	c.add(s, sizes, func(leases int) (float64, error) {
		_, writes, err := leaseLoad(leases)
		return writes, err
	})
}

// evidenceReports returns the reports of an entry for one minute of a move. The
// entry serves the given number of requests a second in that move. A tenth of them
// goes to the new version and one in a hundred fails.
func evidenceReports(requests int, seed uint64) []rollout.Evidence {
	const (
		seconds   = 60
		warmUp    = 120
		newShare  = 0.1
		errorRate = 0.01
		routes    = 33
	)
	random := rand.New(rand.NewPCG(seed, uint64(requests)))
	collector := rollout.NewCollector("entry", rollout.VersionPair{Old: "v1", New: "v2"})
	var list []rollout.Evidence
	for second := range warmUp + seconds {
		for i := range requests {
			now := startTime.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/time.Duration(requests))
			server := random.IntN(subsetSize)
			start := rollout.Start{Version: "v1", Host: hostID(server), Domain: domainOf(server), Stratum: rollout.Stratum{
				Route: rollout.Route(workspaceID(random.IntN(routes))), Load: rollout.LoadMedium, Server: serverID(server)}}
			if random.Float64() < newShare {
				start.Version = "v2"
			}
			sample := rollout.Sample{Start: start, FirstToken: jittered(random, 500*time.Millisecond), InterToken: jittered(random, 40*time.Millisecond)}
			if random.Float64() < errorRate {
				sample.Outcome = rollout.OutcomeError
			}
			collector.Started(now, start)
			collector.Observed(now, sample)
		}
		evidence := collector.Flush(startTime.Add(time.Duration(second+1) * time.Second))
		if second >= warmUp {
			list = append(list, evidence)
		}
	}
	return list
}

func jittered(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration((0.5 + random.Float64()) * float64(mean))
}

func measureEvidence(c *costs, seed uint64) {
	s := series{role: roleHolder, name: costEvidence, unit: "bytes/s", sizeUnit: "requests/s in moves", designSize: entryRequestsPerSecond}
	c.add(s, []int{16, 50, 164}, func(requests int) (float64, error) {
		total := 0
		list := evidenceReports(requests, seed)
		for _, evidence := range list {
			if evidence.Empty() {
				continue
			}
			data, err := json.Marshal(moves.Report{Deployment: "model-00", Move: "model-00/v2/2030-01-01T00:00:00Z", Evidence: evidence})
			if err != nil {
				return 0, err
			}
			total += len(data)
		}
		return float64(total) / float64(len(list)), nil
	})
}

// moveRequestsPerSecond is the rate of requests of one model at an entry.
const moveRequestsPerSecond = 16

// mergeRounds runs n rounds. Each round merges one report of each entry and
// computes a verdict.
func mergeRounds(judge *rollout.Judge, list []rollout.Evidence, entries, n int) {
	for round := range n {
		now := startTime.Add(time.Duration(round) * time.Second)
		for entry := range entries {
			evidence := list[(round+entry)%len(list)]
			evidence.Source = string(hostID(entry))
			evidence.Sequence = uint64(round + 1)
			judge.Merge(now, evidence)
		}
		judge.Verdict()
	}
}

func measureMerge(c *costs, seed uint64) {
	list := evidenceReports(moveRequestsPerSecond, seed)
	s := series{role: roleHolder, name: costMerge, unit: "us", sizeUnit: "entries", designSize: designEntries}
	c.add(s, []int{10, 100, designEntries}, func(entries int) (float64, error) {
		return c.meter.micros(func(n int) { mergeRounds(rollout.NewJudge(rollout.JudgeConfig{}), list, entries, n) })
	})
}

func newMove(servers int) (*rollout.Move, error) {
	plan := rollout.Plan{
		ID: "model-00/v2", Scope: "deployment/model-00", Model: "model-00", From: "v1", To: "v2",
		Start: startTime, Deadline: startTime.Add(4 * time.Hour), WeightBytes: 1 << 30, RateBytesPerSecond: 1 << 30,
	}
	for i := range servers {
		plan.Servers = append(plan.Servers, rollout.Server{ID: serverID(i), Host: hostID(i), Domain: domainOf(i)})
	}
	return rollout.NewMove(plan, infra.Row{}, 1)
}

// stepMove passes the events of one driver step to a move. Every record is written
// and every order is carried out immediately.
func stepMove(move *rollout.Move, now time.Time, servers int, judge *rollout.Judge) {
	events := make([]rollout.Event, 0, servers+2)
	for i := range servers {
		events = append(events, rollout.ServerReport{Server: serverID(i), OldReady: true})
	}
	events = append(events, rollout.VerdictUpdated{Verdict: judge.Verdict()}, rollout.Tick{})
	for len(events) > 0 {
		event := events[0]
		events = events[1:]
		for _, action := range move.Step(now, event) {
			switch a := action.(type) {
			case rollout.WriteRecord:
				commit := infra.Commit{Applied: true, Revision: 1}
				events = append(events, rollout.RecordDone{OperationID: a.Transaction.OperationID, Commit: commit})
			case rollout.SendOrder:
				events = append(events, rollout.OrderDone{Server: a.Server, Kind: a.Order.Kind})
			}
		}
	}
}

func measureMove(c *costs) {
	sizes := []int{10, 100, serversPerModel}
	s := series{role: roleHolder, name: costStep, unit: "us", sizeUnit: "servers of the model", designSize: serversPerModel}
	c.add(s, sizes, func(servers int) (float64, error) {
		move, err := newMove(servers)
		if err != nil {
			return 0, err
		}
		judge := rollout.NewJudge(rollout.JudgeConfig{})
		now := startTime
		return c.meter.micros(func(n int) {
			for range n {
				now = now.Add(time.Second / stepsPerSecond)
				stepMove(move, now, servers, judge)
			}
		})
	})
	s = series{role: roleHolder, name: costMoveMemory, unit: "bytes", sizeUnit: "entries", designSize: designEntries}
	c.addCounted(s, []int{10, 100, designEntries}, func(entries int) float64 {
		list := evidenceReports(moveRequestsPerSecond, 1)
		return heapBytes(func() any {
			judge := rollout.NewJudge(rollout.JudgeConfig{})
			mergeRounds(judge, list, entries, len(list))
			return judge
		})
	})
}
