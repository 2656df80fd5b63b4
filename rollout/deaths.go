package rollout

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// deathWindow joins deaths that have one cause: reports of one death
	// by several processes, and deaths in one failure domain.
	deathWindow = 10 * time.Second
	// activeFor is how long after a request a backend server counts as
	// running its version.
	activeFor = time.Minute
	// maxHostPart bounds what one host can add to the evidence, as a part
	// of what stops, so that no two bad hosts stop a version.
	maxHostPart = 0.45
	// maxOldDeaths bounds the deaths of one host without the version.
	maxOldDeaths = 5
	// minDeathHosts and minDeathDomains are how far deaths must be spread.
	minDeathHosts   = 2
	minDeathDomains = 2
)

// deathTest compares the rate of engine deaths on backend servers that run
// the new version with that on those that do not.
type deathTest struct {
	test       oddsTest
	servers    map[wigeonfork.BackendServerID]*serverUse
	limit      float64
	hosts      map[wigeonfork.HostID]*hostDeaths
	lastDomain map[wigeonfork.FailureDomain]time.Time
	newHosts   map[wigeonfork.HostID]struct{}
	newDomains map[wigeonfork.FailureDomain]struct{}
	advanced   time.Time
	// newTime and oldTime are server-seconds with and without the version.
	newTime, oldTime float64
}

type serverUse struct {
	domain           wigeonfork.FailureDomain
	lastOld, lastNew time.Time
	lastDeath        time.Time
}

// hostDeaths is what was charged for one host.
type hostDeaths struct {
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
		newHosts:   make(map[wigeonfork.HostID]struct{}),
		newDomains: make(map[wigeonfork.FailureDomain]struct{}),
	}
}

// used notes the requests that a backend server was sent.
func (d *deathTest) used(now time.Time, c *Cell) {
	use := d.servers[c.Stratum.Server]
	if use == nil {
		use = &serverUse{domain: c.Domain}
		d.servers[c.Stratum.Server] = use
	}
	if c.Old.Starts > 0 {
		use.lastOld = now
	}
	if c.New.Starts > 0 {
		use.lastNew = now
	}
}

// advance counts the time since the last call for all servers in use.
func (d *deathTest) advance(now time.Time) {
	passed := now.Sub(d.advanced).Seconds()
	if d.advanced.IsZero() {
		passed = 0
	}
	d.advanced = now
	for _, use := range d.servers {
		switch {
		case now.Sub(use.lastNew) < activeFor:
			d.newTime += passed
		case now.Sub(use.lastOld) < activeFor:
			d.oldTime += passed
		}
	}
}

// died takes one reported death.
func (d *deathTest) died(now time.Time, epoch int64, death Death) {
	use := d.servers[death.Server]
	if use == nil || now.Sub(use.lastDeath) < deathWindow {
		return
	}
	use.lastDeath = now
	if now.Sub(d.lastDomain[death.Domain]) < deathWindow {
		return
	}
	d.lastDomain[death.Domain] = now
	if d.newTime == 0 || d.oldTime == 0 {
		return
	}
	d.test.startEpoch(epoch)
	if now.Sub(use.lastNew) < activeFor {
		d.chargeNew(death)
		return
	}
	d.chargeOld(death)
}

func (d *deathTest) chargeNew(death Death) {
	host := d.host(death.Host)
	most := d.test.largestStep(toleratedErrorOdds, d.newTime, d.oldTime)
	if host.evidence+most > maxHostPart*d.limit {
		return
	}
	host.evidence += most
	d.newHosts[death.Host] = struct{}{}
	d.newDomains[death.Domain] = struct{}{}
	d.test.new.bad++
	d.test.weigh(toleratedErrorOdds, 1, 0, d.newTime, d.oldTime)
}

func (d *deathTest) chargeOld(death Death) {
	host := d.host(death.Host)
	if host.old >= maxOldDeaths {
		return
	}
	host.old++
	d.test.old.bad++
	d.test.weigh(toleratedErrorOdds, 0, 1, d.newTime, d.oldTime)
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
// not spread over several hosts and failure domains.
func (d *deathTest) evidence() float64 {
	if len(d.newHosts) < minDeathHosts || len(d.newDomains) < min(minDeathDomains, d.domains()) {
		return 0
	}
	return d.test.evidence()
}

// domains returns the number of failure domains that run the new version.
func (d *deathTest) domains() int {
	known := make(map[wigeonfork.FailureDomain]struct{})
	for _, use := range d.servers {
		if !use.lastNew.IsZero() {
			known[use.domain] = struct{}{}
		}
	}
	return len(known)
}
