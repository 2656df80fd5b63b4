package rollout

import (
	"github.com/wigeonfork/wigeonfork"
)

// maxServerPart bounds what one backend server can add to a pooled test, as a
// part of what stops, so that it takes three to stop a version.
const maxServerPart = 0.34

// pooledTest is an oddsTest in which each backend server counts for a bounded
// part of the evidence.
type pooledTest struct {
	oddsTest
	charged map[wigeonfork.BackendServerID]float64
}

// charge adds the new version's bad requests on one backend server.
func (t *pooledTest) charge(epoch int64, limit float64, server wigeonfork.BackendServerID, logs LogRatio) {
	t.startEpoch(epoch)
	if t.charged == nil {
		t.charged = make(map[wigeonfork.BackendServerID]float64)
	}
	if t.evidence() <= 0 {
		clear(t.charged)
	}
	wanted := logs.most()
	taken := min(wanted, max(0, maxServerPart*limit-t.charged[server]))
	if taken <= 0 {
		return
	}
	t.charged[server] += taken
	t.logs.add(logs.scaled(taken / wanted))
}

// pooledGroup holds the pooled tests of one route.
type pooledGroup [len(pooledCriteria)]pooledTest

// of returns the test of a criterion, or nil if it is not a pooled one.
func (g *pooledGroup) of(c Criterion) *pooledTest {
	for i, pooled := range pooledCriteria {
		if pooled == c {
			return &g[i]
		}
	}
	return nil
}
