package rollout

import (
	"github.com/wigeonfork/wigeonfork"
)

// maxServerFraction bounds what one backend server can add to a pooled test, as a fraction of
// the stop threshold. It takes three backend servers to stop a version.
const maxServerFraction = 0.34

// pooledTest is an oddsTest that bounds the evidence from each backend server.
type pooledTest struct {
	oddsTest
	// serverEvidence is the log evidence that each backend server has added since the total
	// was last 0 or less.
	serverEvidence map[wigeonfork.BackendServerID]float64
}

// addServerIncrement adds the evidence of the new version's bad requests on one backend server,
// up to the bound for the server.
func (t *pooledTest) addServerIncrement(epoch int64, threshold float64, server wigeonfork.BackendServerID, logs LogRatio) {
	t.startEpoch(epoch)
	if t.serverEvidence == nil {
		t.serverEvidence = make(map[wigeonfork.BackendServerID]float64)
	}
	if t.evidence() <= 0 {
		clear(t.serverEvidence)
	}
	wanted := logs.atMaxRatio()
	taken := min(wanted, max(0, maxServerFraction*threshold-t.serverEvidence[server]))
	if taken <= 0 {
		return
	}
	t.serverEvidence[server] += taken
	t.logs.add(logs.scaled(taken / wanted))
}

// pooledTests holds the pooled tests of one route.
type pooledTests [len(pooledCriteria)]pooledTest

// forCriterion returns the test of a criterion, or nil if the criterion is not pooled.
func (p *pooledTests) forCriterion(c Criterion) *pooledTest {
	for i, pooled := range pooledCriteria {
		if pooled == c {
			return &p[i]
		}
	}
	return nil
}
