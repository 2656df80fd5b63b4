package capacity

import (
	"strconv"
	"time"

	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/action/ledger"
)

// Names of the ledger costs of an agent.
const (
	costDispatch     = "dispatch, finish and forget a claim"
	costLedgerMemory = "memory of a claim"
)

var claimSizes = []int{100, 1_000, 10_000}

// filledLedger returns a ledger that has processed claims+n claims. The argument claims
// is also their rate per minute. Each claim expires after a minute, so that the ledger
// holds about that many.
func filledLedger(claims, n int) *ledger.Ledger {
	config := ledger.DefaultConfig("1")
	config.MaxClaims = claims + n
	l := ledger.New(config)
	gap := time.Minute / time.Duration(claims)
	now := startTime
	for i := range claims + n {
		now = now.Add(gap)
		claim := action.Claim{
			ID: action.ClaimID(strconv.Itoa(i)), Workspace: workspaceID(i % designWorkspaces),
			Target: action.Target{Incarnation: "1"}, Expires: now.Add(time.Minute),
		}
		l.Dispatch(now, claim)
		l.Finished(now, claim.ID, nil)
		l.Recorded(now, claim.ID)
	}
	return l
}

func measureLedger(c *costs) {
	s := series{role: roleAgent, name: costDispatch, unit: "us", sizeUnit: "claims held", designSize: claimsHeld}
	c.add(s, claimSizes, func(claims int) (float64, error) {
		// Filling the ledger counts as well: those claims cost as much as the later ones.
		return perClaim(c.meter, claims)
	})
	s = series{role: roleAgent, name: costLedgerMemory, unit: "bytes", sizeUnit: "claims held", designSize: claimsHeld}
	c.addCounted(s, claimSizes, func(claims int) float64 {
		return heapBytes(func() any { return filledLedger(claims, 0) }) / float64(claims)
	})
}

// perClaim returns the processor time of one claim in microseconds. Each
// operation fills a ledger and then adds refills times as many claims.
func perClaim(m meter, claims int) (float64, error) {
	const refills = 3
	micros, err := m.micros(func(n int) {
		for range n {
			filledLedger(claims, refills*claims)
		}
	})
	return micros / float64((1+refills)*claims), err
}

// claimsHeld bounds the claims that an agent remembers: one claim a second, each
// kept for ten minutes.
const claimsHeld = 600
