package gateway

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/health"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/routing"
)

// errVersionStopped is the cause for which a run at a version that was stopped is abandoned.
var errVersionStopped = errors.New("the version was stopped")

// versionPolicy decides which versions of a service requests are sent to.
type versionPolicy interface {
	// preference lists the versions that the next request may be sent to, the wanted one
	// first. It is empty if the policy has no preference.
	preference(service wigeonfork.Model) []wigeonfork.Version
	// allows reports whether a request may be sent to a server of a version.
	allows(service wigeonfork.Model, version wigeonfork.Version) bool
	// backupVersion returns the version at which backups are kept; empty for any.
	backupVersion(service wigeonfork.Model) wigeonfork.Version
	// sent counts a request that is sent to a server.
	sent(service wigeonfork.Model, version wigeonfork.Version)
}

// anyVersion is the versionPolicy without a preference.
type anyVersion struct{}

func (anyVersion) preference(wigeonfork.Model) []wigeonfork.Version  { return nil }
func (anyVersion) allows(wigeonfork.Model, wigeonfork.Version) bool  { return true }
func (anyVersion) backupVersion(wigeonfork.Model) wigeonfork.Version { return "" }
func (anyVersion) sent(wigeonfork.Model, wigeonfork.Version)         {}

// serviceVersion identifies one version of a service.
type serviceVersion struct {
	service wigeonfork.Model
	version wigeonfork.Version
}

func (f *fleet) addVersion(entry directory.Entry) {
	key := serviceVersion{entry.Service, entry.Version}
	if f.versionCount[key] == 0 {
		f.versionOrder[entry.Service] = append(f.versionOrder[entry.Service], entry.Version)
	}
	f.versionCount[key]++
}

func (f *fleet) removeVersion(entry directory.Entry) {
	key := serviceVersion{entry.Service, entry.Version}
	f.versionCount[key]--
	if f.versionCount[key] > 0 {
		return
	}
	delete(f.versionCount, key)
	f.versionOrder[entry.Service] = slices.DeleteFunc(f.versionOrder[entry.Service], func(v wigeonfork.Version) bool { return v == entry.Version })
}

// chooseVersion chooses a server of the first allowed version that has one with room for the request, or if none has room,
// of the first that has one. Without an order, servers of a version that appeared later are used only if there are no
// others, or if those have no room.
func (f *fleet) chooseVersion(now time.Time, request *routing.Request) (routing.Decision, error) {
	versions := f.versions.preference(request.Model)
	if len(versions) == 0 && len(f.versionOrder[request.Model]) > 1 {
		versions = []wigeonfork.Version{f.versionOrder[request.Model][0], ""}
	}
	if len(versions) == 0 {
		versions = []wigeonfork.Version{""}
	}
	var full *routing.Decision
	var err error
	for _, version := range versions {
		request.Version = version
		var decision routing.Decision
		decision, err = f.router.Choose(now, *request)
		if err == nil && !decision.NoRoom {
			return decision, nil
		}
		if err == nil && full == nil {
			full = &decision
		}
	}
	if full != nil {
		return *full, nil
	}
	return routing.Decision{}, err
}

// serversByVersion returns the numbers of servers of a service by version, in the order in which the versions
// appeared.
func (f *fleet) serversByVersion(service wigeonfork.Model) []rollout.VersionServers {
	f.mu.Lock()
	defer f.mu.Unlock()
	usable := make(map[wigeonfork.Version]int)
	for id, entry := range f.entries {
		if entry.Service == service && f.servers.State(id) != health.Down {
			usable[entry.Version]++
		}
	}
	list := make([]rollout.VersionServers, 0, len(f.versionOrder[service]))
	for _, version := range f.versionOrder[service] {
		list = append(list, rollout.VersionServers{
			Version: version, Known: f.versionCount[serviceVersion{service, version}], Usable: usable[version],
		})
	}
	return list
}

// leaveVersion ends the runs of streams at servers of a version, unless they can't continue at
// another.
func (f *fleet) leaveVersion(now time.Time, service wigeonfork.Model, version wigeonfork.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, entry := range f.entries {
		if entry.Service == service && entry.Version == version {
			f.suspectRunsLocked(now, id, errVersionStopped)
		}
	}
}
