package rollout

import (
	"math"
	"time"
)

// oddsRatios are the alternatives that a test looks for: the odds of a bad request on the new
// version relative to those on the old one, as multiples of the tolerated odds ratio.
var oddsRatios = [numRatios]float64{2, 4, 16, 64}

const (
	numRatios = 4
	// testEpoch is the interval at which a test restarts if it has found nothing, so that
	// it detects a version that turns bad late.
	testEpoch = time.Minute
	// The tolerated odds ratios: a new version up to this much worse counts as good.
	toleratedErrorOdds   = 1.1
	toleratedLatencyOdds = 1.5
)

// LogRatio holds the log likelihood ratios of bad requests, one for each alternative. Those of
// independent requests add up.
type LogRatio [numRatios]float32

func (l *LogRatio) add(o LogRatio) {
	for i := range l {
		l[i] += o[i]
	}
}

// scaled returns l multiplied by factor.
func (l LogRatio) scaled(factor float64) LogRatio {
	for i := range l {
		l[i] *= float32(factor)
	}
	return l
}

// atMaxRatio returns the log ratio of the alternative with the largest odds ratio.
func (l LogRatio) atMaxRatio() float64 { return float64(l[numRatios-1]) }

// logRatio returns the log likelihood ratios of the bad requests of both versions. The weights
// are the numbers or rates of requests that could have been bad. The binomial probabilities bound
// the exact ones of sampling without replacement.
func logRatio(tolerated, newBad, oldBad, newWeight, oldWeight float64) LogRatio {
	var logs LogRatio
	expected := newWeight * tolerated / (newWeight*tolerated + oldWeight)
	for i, ratio := range oddsRatios {
		odds := newWeight * tolerated * ratio
		alternative := odds / (odds + oldWeight)
		sum := newBad * math.Log(alternative/expected)
		sum += oldBad * math.Log((1-alternative)/(1-expected))
		logs[i] = float32(sum)
	}
	return logs
}

// oddsTest is a sequential test of whether requests are bad more often on the new version than
// on the old one. Given the number of bad requests in a window, it looks at how many were the
// new version's. It therefore needs no model of how often requests are bad.
//
// For each alternative it keeps the logarithm of an e-process that restarts at each epoch if it
// is below 0. Under the tolerated odds, the probability that a given start ever reaches
// log(1/a) is at most a.
type oddsTest struct {
	logs   LogRatio
	totals Totals
	epoch  int64
}

func (t *oddsTest) add(epoch int64, logs LogRatio, totals Totals) {
	t.startEpoch(epoch)
	t.totals.add(totals)
	t.logs.add(logs)
}

// startEpoch restarts the alternatives that are below 0 if the epoch is new.
func (t *oddsTest) startEpoch(epoch int64) {
	if epoch == t.epoch {
		return
	}
	t.epoch = epoch
	for i := range t.logs {
		t.logs[i] = max(t.logs[i], 0)
	}
}

// evidence returns the largest log e-value over all alternatives.
func (t *oddsTest) evidence() float64 {
	best := t.logs[0]
	for _, l := range t.logs[1:] {
		best = max(best, l)
	}
	return float64(best)
}
