package rollout

import (
	"math"
	"time"
)

// oddsRatios are the alternatives that a test looks for: how many times the
// odds of a bad request on the new version are those on the old one.
var oddsRatios = [...]float64{2, 4, 16, 64}

const (
	// testEpoch is the time between the moments at which a test starts
	// again if it has found nothing, so that it notices a version that
	// turns bad late.
	testEpoch = time.Minute
	// tolerated odds ratios: a new version up to this much worse is good.
	toleratedErrorOdds   = 1.1
	toleratedLatencyOdds = 1.5
)

// oddsTest is a sequential test of whether requests are bad more often on the
// new version than on the old one in the same windows. Given how many of a
// window's requests were bad, it looks at how many of them were the new
// version's, so that it needs no model of how often requests are bad.
//
// For each alternative it keeps the logarithm of an e-process that starts
// again at each epoch. Under the tolerated odds the chance that a given start
// ever reaches log(1/a) is at most a.
type oddsTest struct {
	logs  [len(oddsRatios)]float64
	old   windowTotals
	new   windowTotals
	epoch int64
}

// windowTotals are requests seen by a test, for explanations.
type windowTotals struct{ bad, total uint64 }

// add takes one window: bad of total requests of each version.
func (t *oddsTest) add(epoch int64, tolerated float64, newBad, newTotal, oldBad, oldTotal uint32) {
	if newTotal == 0 || oldTotal == 0 {
		return
	}
	t.startEpoch(epoch)
	t.new.bad += uint64(newBad)
	t.new.total += uint64(newTotal)
	t.old.bad += uint64(oldBad)
	t.old.total += uint64(oldTotal)
	if newBad+oldBad == 0 {
		return
	}
	t.weigh(tolerated, float64(newBad), float64(oldBad), float64(newTotal), float64(oldTotal))
}

// weigh multiplies the e-processes by the likelihood ratios of one window.
// The binomial probabilities bound the exact ones of a draw without return.
func (t *oddsTest) weigh(tolerated, newBad, oldBad, newWeight, oldWeight float64) {
	expected := newWeight * tolerated / (newWeight*tolerated + oldWeight)
	for i, ratio := range oddsRatios {
		odds := newWeight * tolerated * ratio
		alternative := odds / (odds + oldWeight)
		t.logs[i] += newBad * math.Log(alternative/expected)
		t.logs[i] += oldBad * math.Log((1-alternative)/(1-expected))
	}
}

// largestStep returns the most that one bad request of the new version can
// add to the evidence.
func largestStep(tolerated, newWeight, oldWeight float64) float64 {
	weight := newWeight * tolerated
	ratio := oddsRatios[len(oddsRatios)-1]
	return math.Log(ratio * (weight + oldWeight) / (weight*ratio + oldWeight))
}

func (t *oddsTest) startEpoch(epoch int64) {
	if epoch == t.epoch {
		return
	}
	t.epoch = epoch
	for i := range t.logs {
		t.logs[i] = max(t.logs[i], 0)
	}
}

// evidence returns the largest logarithm.
func (t *oddsTest) evidence() float64 {
	best := t.logs[0]
	for _, l := range t.logs[1:] {
		best = max(best, l)
	}
	return best
}
