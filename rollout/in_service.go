package rollout

import (
	"fmt"
	"maps"
	"slices"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/storepos"
)

// maxStoppedVersions bounds the stopped versions that are remembered for a service.
const maxStoppedVersions = 32

// InService is the version that a service's last completed move led to. The zero value means that none is known.
type InService struct {
	Version wigeonfork.Version `cbor:"1,keyasint,omitempty"`
	// Since is the position of the order whose move was completed. It is zero if the version was in service before
	// the first order.
	Since storepos.Position `cbor:"2,keyasint,omitzero"`
}

// String describes s for operators.
func (s InService) String() string {
	if s.Version == "" {
		return "unknown"
	}
	return fmt.Sprintf("%s since order %d of era %d", s.Version, s.Since.Revision, s.Since.Era)
}

// Supersedes reports whether s is a later fact than other. Of two for the same order one always supersedes the other,
// so that entries that exchange them agree.
func (s InService) Supersedes(other InService) bool {
	switch {
	case s.Version == "" || s == other:
		return false
	case other.Version == "":
		return true
	case s.Since != other.Since:
		return s.Since.After(other.Since)
	}
	return s.Version < other.Version
}

// VersionServers is the number of an entry's known servers of one version of a service.
type VersionServers struct {
	Version wigeonfork.Version
	// Usable is the number of those that take requests.
	Known, Usable int
}

// ServiceVersions keeps which version of a service is in service and which ones were stopped, from the stored states
// of its moves and the reports of peers. These may arrive repeatedly, late and in any order.
//
// ServiceVersions is a deterministic decision type without I/O. It is not safe for concurrent use. Its zero value
// knows nothing.
type ServiceVersions struct {
	inService InService
	// stopped holds the position of the last order for each version that was stopped.
	stopped map[wigeonfork.Version]storepos.Position
}

// InService returns the version in service as far as known.
func (s *ServiceVersions) InService() InService { return s.inService }

// Learn records the version in service as found in the store or reported by a peer. It returns whether that is a
// change.
func (s *ServiceVersions) Learn(fact InService) bool {
	if !fact.Supersedes(s.inService) {
		return false
	}
	s.inService = fact
	if s.stopped[fact.Version].Before(fact.Since) {
		delete(s.stopped, fact.Version)
	}
	return true
}

// Stop records that the version to which an order at a position moved the service was stopped.
func (s *ServiceVersions) Stop(version wigeonfork.Version, at storepos.Position) {
	if s.inService.Version == version && s.inService.Since.After(at) {
		return
	}
	if s.stopped == nil {
		s.stopped = make(map[wigeonfork.Version]storepos.Position)
	}
	s.stopped[version] = storepos.Later(s.stopped[version], at)
	if len(s.stopped) > maxStoppedVersions {
		delete(s.stopped, s.firstStopped())
	}
}

// firstStopped returns the version of the earliest order among the stopped ones.
func (s *ServiceVersions) firstStopped() wigeonfork.Version {
	return slices.MinFunc(slices.Collect(maps.Keys(s.stopped)), func(a, b wigeonfork.Version) int {
		return s.stopped[a].Compare(s.stopped[b])
	})
}

// Trusted returns the version for the requests that are not sent to the one under trial; trial is empty if there is
// none. known lists the versions with servers in the order in which they appeared. The version in service comes first,
// then those that appeared earlier. A version without usable servers is returned only if no other has any. Stopped
// versions and the one under trial are never returned. The result is empty if no other version is known.
func (s *ServiceVersions) Trusted(known []VersionServers, trial wigeonfork.Version) wigeonfork.Version {
	candidates := make([]VersionServers, 0, len(known)+1)
	if version := s.inService.Version; version != "" && version != trial {
		candidates = append(candidates, s.inServiceServers(known))
	}
	for _, servers := range known {
		_, isStopped := s.stopped[servers.Version]
		if servers.Version != trial && !isStopped {
			candidates = append(candidates, servers)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	usable := slices.IndexFunc(candidates, func(c VersionServers) bool { return c.Usable > 0 })
	return candidates[max(usable, 0)].Version
}

// inServiceServers returns the servers of the version in service.
func (s *ServiceVersions) inServiceServers(known []VersionServers) VersionServers {
	for _, servers := range known {
		if servers.Version == s.inService.Version {
			return servers
		}
	}
	return VersionServers{Version: s.inService.Version}
}
