package rollout

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// deathWindow joins deaths that have one cause: reports of one death
	// by several processes, and deaths in one failure domain.
	deathWindow = 10 * time.Second
	// deathEpoch is the time between the moments at which the test starts
	// again if it has found nothing.
	deathEpoch = 10 * time.Minute
	// activeFor is how long after a request a backend server counts as
	// running its version.
	activeFor = time.Minute
	// maxHostPart bounds what one host can add to the evidence, as a part
	// of what stops, so that it takes three hosts to stop a version.
	maxHostPart = 0.34
	// maxOldDeaths bounds the deaths of one host that speak for a version.
	maxOldDeaths = 2
	// frailtyPrior is the number of deaths that a host is taken to have had
	// before it was seen. The smaller it is, the more a host's own deaths
	// make further ones expected of it.
	frailtyPrior = 1
	// minDeathDomains is how far deaths must be spread.
	minDeathDomains = 2
)

// deathTest compares engine deaths on backend servers that run the new version
// with those on the others. A host that has died before, with either version,
// is expected to die more often than the rest.
type deathTest struct {
	test       oddsTest
	limit      float64
	servers    map[wigeonfork.BackendServerID]*serverUse
	hosts      map[wigeonfork.HostID]*hostDeaths
	lastDomain map[wigeonfork.FailureDomain]time.Time
	newDomains map[wigeonfork.FailureDomain]struct{}
}

type serverUse struct {
	host             wigeonfork.HostID
	domain           wigeonfork.FailureDomain
	lastOld, lastNew time.Time
	lastDeath        time.Time
}

// hostDeaths is what is known of one host's deaths.
type hostDeaths struct {
	total    int
	old      int
	evidence float64
}

// newDeathTest returns a test that stops at limit.
func newDeathTest(limit float64) deathTest {
	return deathTest{
		limit:      limit,
		servers:    make(map[wigeonfork.BackendServerID]*serverUse),
		hosts:      make(map[wigeonfork.HostID]*hostDeaths),
		lastDomain: make(map[wigeonfork.FailureDomain]time.Time),
		newDomains: make(map[wigeonfork.FailureDomain]struct{}),
	}
}

// used notes the requests that a backend server was sent.
func (d *deathTest) used(now time.Time, u ServerUse) {
	use := d.servers[u.Server]
	if use == nil {
		use = &serverUse{host: u.Host, domain: u.Domain}
		d.servers[u.Server] = use
	}
	if u.Old {
		use.lastOld = now
	}
	if u.New {
		use.lastNew = now
	}
}

// died takes one reported death.
func (d *deathTest) died(now time.Time, epoch int64, death EngineDeath) {
	use := d.servers[death.Server]
	if use == nil || now.Sub(use.lastDeath) < deathWindow {
		return
	}
	use.lastDeath = now
	if now.Sub(d.lastDomain[death.Domain]) < deathWindow {
		return
	}
	d.lastDomain[death.Domain] = now
	newWeight, oldWeight := d.expected(now)
	host := d.host(death.Host)
	host.total++
	if newWeight == 0 || oldWeight == 0 {
		return
	}
	d.test.startEpoch(epoch)
	if now.Sub(use.lastNew) < activeFor {
		d.newDomains[death.Domain] = struct{}{}
		d.chargeNew(host, newWeight, oldWeight)
		return
	}
	d.chargeOld(host, newWeight, oldWeight)
}

// expected returns the rates of deaths to be expected, in any one unit, on the
// backend servers that run the new version and on the others.
func (d *deathTest) expected(now time.Time) (newWeight, oldWeight float64) {
	newHosts, oldHosts, newDeaths, oldDeaths := 0, 0, 0, 0
	for _, use := range d.servers {
		deaths := 0
		if host := d.hosts[use.host]; host != nil {
			deaths = host.total
		}
		switch {
		case now.Sub(use.lastNew) < activeFor:
			newHosts++
			newDeaths += deaths
		case now.Sub(use.lastOld) < activeFor:
			oldHosts++
			oldDeaths += deaths
		}
	}
	newWeight = frailtyPrior*float64(newHosts) + float64(newDeaths)
	oldWeight = frailtyPrior*float64(oldHosts) + float64(oldDeaths)
	return newWeight, oldWeight
}

func (d *deathTest) chargeNew(host *hostDeaths, newWeight, oldWeight float64) {
	d.test.totals.NewBad++
	logs := logRatio(toleratedErrorOdds, 1, 0, newWeight, oldWeight)
	room := max(0, maxHostPart*d.limit-host.evidence)
	part := min(1, room/logs.most())
	host.evidence += part * logs.most()
	d.test.logs.add(logs.scaled(part))
}

func (d *deathTest) chargeOld(host *hostDeaths, newWeight, oldWeight float64) {
	d.test.totals.OldBad++
	host.old++
	if host.old > maxOldDeaths {
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

// evidence returns the logarithm of the evidence, or 0 while the deaths are
// not spread over several failure domains.
func (d *deathTest) evidence() float64 {
	if len(d.newDomains) < min(minDeathDomains, d.domains()) {
		return 0
	}
	return d.test.evidence()
}

// domains returns the number of failure domains that have run the new version.
func (d *deathTest) domains() int {
	known := make(map[wigeonfork.FailureDomain]struct{})
	for _, use := range d.servers {
		if !use.lastNew.IsZero() {
			known[use.domain] = struct{}{}
		}
	}
	return len(known)
}

// running returns how many backend servers have and have not run the version.
func (d *deathTest) running() (newServers, oldServers uint32) {
	for _, use := range d.servers {
		if use.lastNew.IsZero() {
			oldServers++
			continue
		}
		newServers++
	}
	return newServers, oldServers
}
