package moves

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// totals sums the results of all moves of one kind under one policy.
type totals struct {
	moves, done, reverted int
	harmed                int
	sentAfterStop         int
	worstShare            float64
	serverHours           float64
	reportBytes           int
	reportSeconds         int
}

func (t *totals) add(r result) {
	t.moves++
	if r.doneInTime {
		t.done++
	}
	if r.reverted {
		t.reverted++
	}
	t.harmed += r.harmed
	t.sentAfterStop += r.sentAfterStop
	t.worstShare = max(t.worstShare, r.canaryShare)
	t.serverHours += r.serverHours
	t.reportBytes += r.reportBytes
	t.reportSeconds += r.reportSeconds
}

func percent(part, total int) float64 { return 100 * float64(part) / float64(max(total, 1)) }

// The targets, in percent. targetAfterStop is a number of requests.
const (
	targetGoodDone       = 99.0
	targetGoodReverted   = 1.0
	targetBadReverted    = 95.0
	targetAtOnceReverted = 100.0
	targetCanaryShare    = 5.0
	targetAfterStop      = 0
)

type report struct {
	w       io.Writer
	csv     io.Writer
	options Options
	results map[resultKey]*totals
	missed  []string
}

func (r *report) print(took time.Duration) error {
	fmt.Fprintf(r.w, "seed %d, %d moves of each kind and policy, %d backend servers, %s to the deadline, in virtual time (%s of real time)\n",
		r.options.Seed, r.options.Moves, serverCount, moveTime, took.Round(time.Second))
	r.table()
	for _, k := range allKinds {
		r.check(k)
	}
	r.checkFalseReverts()
	if len(r.missed) == 0 {
		fmt.Fprintln(r.w, "all targets met")
		return nil
	}
	for _, line := range r.missed {
		fmt.Fprintln(r.w, "missed:", line)
	}
	return ErrTargetMissed
}

func (r *report) table() {
	tw := tabwriter.NewWriter(r.w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "kind\tpolicy\tdone in time\ttaken back\tharmed/move\tcanary share\tafter stop\tboth versions, server hours/move")
	if r.csv != nil {
		fmt.Fprintln(r.csv, "kind,policy,moves,done_percent,taken_back_percent,harmed_per_move,canary_share_percent,after_stop,server_hours_per_move")
	}
	for _, k := range allKinds {
		for _, p := range allPolicies {
			r.line(tw, k, p)
		}
	}
	_ = tw.Flush()
}

func (r *report) line(tw io.Writer, k kind, p policy) {
	t := r.results[resultKey{k, p}]
	n := float64(max(t.moves, 1))
	done, reverted := percent(t.done, t.moves), percent(t.reverted, t.moves)
	harmed, hours := float64(t.harmed)/n, t.serverHours/n
	fmt.Fprintf(tw, "%s\t%s\t%.1f%%\t%.1f%%\t%.1f\t%.2f%%\t%d\t%.2f\n",
		k, p, done, reverted, harmed, 100*t.worstShare, t.sentAfterStop, hours)
	if r.csv != nil {
		fmt.Fprintf(r.csv, "%q,%s,%d,%.2f,%.2f,%.2f,%.3f,%d,%.3f\n",
			string(k), p, t.moves, done, reverted, harmed, 100*t.worstShare, t.sentAfterStop, hours)
	}
}

func (r *report) addMiss(format string, args ...any) {
	r.missed = append(r.missed, fmt.Sprintf(format, args...))
}

// check compares the figures of one kind with their targets.
func (r *report) check(k kind) {
	t := r.results[resultKey{k, policyRollout}]
	if slices.Contains(goodKinds, k) {
		if done := percent(t.done, t.moves); done < targetGoodDone {
			r.addMiss("%s: %.1f%% done in time, target %.0f%%", k, done, targetGoodDone)
		}
	} else {
		target := targetBadReverted
		if k == kindFailsAtOnce {
			target = targetAtOnceReverted
		}
		if reverted := percent(t.reverted, t.moves); reverted < target {
			r.addMiss("%s: %.1f%% taken back, target %.0f%%", k, reverted, target)
		}
	}
	if share := 100 * t.worstShare; share > targetCanaryShare {
		r.addMiss("%s: canary share %.2f%%, target %.0f%%", k, share, targetCanaryShare)
	}
	if t.sentAfterStop > targetAfterStop {
		r.addMiss("%s: %d requests sent more than %s after the stop", k, t.sentAfterStop, afterStopLimit)
	}
}

// checkFalseReverts compares the share of good versions that were reverted with the
// target.
func (r *report) checkFalseReverts() {
	moves, reverted := 0, 0
	for _, k := range goodKinds {
		t := r.results[resultKey{k, policyRollout}]
		moves += t.moves
		reverted += t.reverted
	}
	share := percent(reverted, moves)
	fmt.Fprintf(r.w, "good versions taken back: %d of %d (%.2f%%, target under %.0f%%)\n", reverted, moves, share, targetGoodReverted)
	good := r.results[resultKey{kindGood, policyRollout}]
	fmt.Fprintf(r.w, "evidence sent by an entry during a good move: %.0f bytes/s as JSON\n", float64(good.reportBytes)/float64(max(good.reportSeconds, 1)))
	if share >= targetGoodReverted {
		r.addMiss("good versions: %.2f%% taken back, target under %.0f%%", share, targetGoodReverted)
	}
}
