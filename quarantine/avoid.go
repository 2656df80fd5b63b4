package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/wigeonfork/wigeonfork"
)

// Avoid appends to dst the servers on which a suspect should not run. These are the servers whose
// engine died while it was resident, those known to run another suspect, and those assigned to
// another resident of its latest death. The assignment depends on the death and the server alone,
// so all processes compute the same one without communication. Avoid never appends every server:
// it first omits the assigned servers, then those that run another suspect, then the crashed ones.
func (d *Detector) Avoid(_ time.Time, key Key, servers []wigeonfork.BackendServerID, dst []wigeonfork.BackendServerID) []wigeonfork.BackendServerID {
	s := d.suspects[key]
	if s == nil {
		return dst
	}
	base := len(dst)
	dst = d.appendExcluded(dst, s, servers)
	if len(dst)-base >= len(servers) {
		return d.appendCrashed(dst[:base], s, servers)
	}
	excluded := len(dst)
	dst = d.appendAssignedToOthers(dst, key, s, servers, base)
	if len(dst)-base >= len(servers) {
		dst = dst[:excluded]
	}
	return dst
}

// appendCrashed appends the servers that crashed with the suspect resident, unless these are all.
func (d *Detector) appendCrashed(dst []wigeonfork.BackendServerID, s *suspect, servers []wigeonfork.BackendServerID) []wigeonfork.BackendServerID {
	for _, server := range servers {
		if onServer(s.incidents, server) {
			dst = append(dst, server)
		}
	}
	if len(dst) >= len(servers) {
		return dst[:0]
	}
	return dst
}

// appendExcluded appends the servers that crashed with the suspect resident or run another suspect.
func (d *Detector) appendExcluded(dst []wigeonfork.BackendServerID, s *suspect, servers []wigeonfork.BackendServerID) []wigeonfork.BackendServerID {
	for _, server := range servers {
		if onServer(s.incidents, server) || d.runsOther(server, s) {
			dst = append(dst, server)
		}
	}
	return dst
}

// runsOther reports whether a server runs a suspect other than s.
func (d *Detector) runsOther(server wigeonfork.BackendServerID, s *suspect) bool {
	own := 0
	for _, used := range s.running {
		if used == server {
			own++
		}
	}
	return d.suspectRuns[server] > own
}

// appendAssignedToOthers appends the servers that are assigned to another resident of the latest
// death of s.
func (d *Detector) appendAssignedToOthers(dst []wigeonfork.BackendServerID, key Key, s *suspect, servers []wigeonfork.BackendServerID, base int) []wigeonfork.BackendServerID {
	death := d.deaths[s.incidents[len(s.incidents)-1].death]
	if death == nil {
		return dst
	}
	excluded := dst[base:]
	for _, server := range servers {
		if !slices.Contains(excluded, server) && d.assignedResident(death, server) != key {
			dst = append(dst, server)
		}
	}
	return dst
}

// assignedResident returns the resident of a death to which a server is assigned by rendezvous
// hashing.
func (d *Detector) assignedResident(death *deathRecord, server wigeonfork.BackendServerID) Key {
	var best Key
	var highest uint64
	salt := xxhash.Sum64String(string(server) + death.ID.Incarnation)
	for i := range death.Residents {
		key := death.Residents[i].Key
		hash := splitMix64(salt ^ binary.LittleEndian.Uint64(key.Fingerprint[:8]))
		if hash >= highest {
			best, highest = key, hash
		}
	}
	return best
}

func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
