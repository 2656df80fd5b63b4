package rollout

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// deathMergeWindow merges deaths with one cause: reports of one death by several
	// processes, and deaths in one failure domain.
	deathMergeWindow = 10 * time.Second
	// deathEpoch is the interval at which the test restarts if it has found nothing.
	deathEpoch = 10 * time.Minute
	// activeWindow is how long after a request a backend server counts as running its
	// version.
	activeWindow = time.Minute
	// maxHostFraction bounds the evidence from one host, as a fraction of the stop
	// threshold. It takes three hosts to stop a version.
	maxHostFraction = 0.34
	// maxOldDeathsPerHost bounds the deaths of one host that count in favour of the new
	// version.
	maxOldDeathsPerHost = 2
	// frailtyPrior is the number of deaths that each host is assumed to have had before it
	// was seen. The smaller it is, the more a host's own deaths raise its expected rate.
	frailtyPrior = 1
	// minDeathDomains is the number of failure domains that deaths must span to count as
	// evidence. If the new version runs in fewer domains, all of them are required.
	minDeathDomains = 2
)

// deathTest compares engine deaths on backend servers that run the new version with those on
// the others. A host that has died before, with either version, has a higher expected rate.
type deathTest struct {
	test              oddsTest
	threshold         float64
	servers           map[wigeonfork.BackendServerID]*serverActivity
	hosts             map[wigeonfork.HostID]*hostDeaths
	lastDeathInDomain map[wigeonfork.FailureDomain]time.Time
	newDeathDomains   map[wigeonfork.FailureDomain]struct{}
}

type serverActivity struct {
	host             wigeonfork.HostID
	domain           wigeonfork.FailureDomain
	lastOld, lastNew time.Time
	lastDeath        time.Time
}

// hostDeaths holds the deaths of one host.
type hostDeaths struct {
	total    int
	old      int     // deaths with the old version
	evidence float64 // log evidence added by deaths with the new version
}

// newDeathTest returns a test with the given stop threshold.
func newDeathTest(threshold float64) deathTest {
	return deathTest{
		threshold:         threshold,
		servers:           make(map[wigeonfork.BackendServerID]*serverActivity),
		hosts:             make(map[wigeonfork.HostID]*hostDeaths),
		lastDeathInDomain: make(map[wigeonfork.FailureDomain]time.Time),
		newDeathDomains:   make(map[wigeonfork.FailureDomain]struct{}),
	}
}

// recordUse records which versions a backend server was sent requests for.
func (d *deathTest) recordUse(now time.Time, u ServerUse) {
	activity := d.servers[u.Server]
	if activity == nil {
		activity = &serverActivity{host: u.Host, domain: u.Domain}
		d.servers[u.Server] = activity
	}
	if u.Old {
		activity.lastOld = now
	}
	if u.New {
		activity.lastNew = now
	}
}

// recordDeath adds one reported death. It ignores deaths of unknown backend servers, and
// deaths within deathMergeWindow of another on the same server or in the same domain.
func (d *deathTest) recordDeath(now time.Time, epoch int64, death EngineDeath) {
	activity := d.servers[death.Server]
	if activity == nil || now.Sub(activity.lastDeath) < deathMergeWindow {
		return
	}
	activity.lastDeath = now
	if now.Sub(d.lastDeathInDomain[death.Domain]) < deathMergeWindow {
		return
	}
	d.lastDeathInDomain[death.Domain] = now
	newWeight, oldWeight := d.deathWeights(now)
	host := d.host(death.Host)
	host.total++
	if newWeight == 0 || oldWeight == 0 {
		return
	}
	d.test.startEpoch(epoch)
	if now.Sub(activity.lastNew) < activeWindow {
		d.newDeathDomains[death.Domain] = struct{}{}
		d.addNewDeath(host, newWeight, oldWeight)
		return
	}
	d.addOldDeath(host, newWeight, oldWeight)
}

// deathWeights returns the expected death rates, in an arbitrary common unit, of the backend
// servers that run the new version and of the others in use.
func (d *deathTest) deathWeights(now time.Time) (newWeight, oldWeight float64) {
	newServers, oldServers, newDeaths, oldDeaths := 0, 0, 0, 0
	for _, activity := range d.servers {
		deaths := 0
		if host := d.hosts[activity.host]; host != nil {
			deaths = host.total
		}
		switch {
		case now.Sub(activity.lastNew) < activeWindow:
			newServers++
			newDeaths += deaths
		case now.Sub(activity.lastOld) < activeWindow:
			oldServers++
			oldDeaths += deaths
		}
	}
	newWeight = frailtyPrior*float64(newServers) + float64(newDeaths)
	oldWeight = frailtyPrior*float64(oldServers) + float64(oldDeaths)
	return newWeight, oldWeight
}

// addNewDeath adds a death with the new version. The evidence from its host is bounded.
func (d *deathTest) addNewDeath(host *hostDeaths, newWeight, oldWeight float64) {
	d.test.totals.NewBad++
	logs := logRatio(toleratedErrorOdds, 1, 0, newWeight, oldWeight)
	remaining := max(0, maxHostFraction*d.threshold-host.evidence)
	fraction := min(1, remaining/logs.atMaxRatio())
	host.evidence += fraction * logs.atMaxRatio()
	d.test.logs.add(logs.scaled(fraction))
}

// addOldDeath adds a death with the old version. Beyond maxOldDeathsPerHost, the deaths of a host
// add no evidence.
func (d *deathTest) addOldDeath(host *hostDeaths, newWeight, oldWeight float64) {
	d.test.totals.OldBad++
	host.old++
	if host.old > maxOldDeathsPerHost {
		return
	}
	d.test.logs.add(logRatio(toleratedErrorOdds, 0, 1, newWeight, oldWeight))
}

func (d *deathTest) host(id wigeonfork.HostID) *hostDeaths {
	host := d.hosts[id]
	if host == nil {
		host = &hostDeaths{}
		d.hosts[id] = host
	}
	return host
}

// evidence returns the log of the evidence, or 0 while the deaths span too few failure
// domains.
func (d *deathTest) evidence() float64 {
	if len(d.newDeathDomains) < min(minDeathDomains, d.newVersionDomains()) {
		return 0
	}
	return d.test.evidence()
}

// newVersionDomains returns the number of failure domains that have run the new version.
func (d *deathTest) newVersionDomains() int {
	known := make(map[wigeonfork.FailureDomain]struct{})
	for _, activity := range d.servers {
		if !activity.lastNew.IsZero() {
			known[activity.domain] = struct{}{}
		}
	}
	return len(known)
}

// serverTotals returns how many backend servers have and have not run the new version.
func (d *deathTest) serverTotals() (newServers, oldServers uint32) {
	for _, activity := range d.servers {
		if activity.lastNew.IsZero() {
			oldServers++
			continue
		}
		newServers++
	}
	return newServers, oldServers
}
