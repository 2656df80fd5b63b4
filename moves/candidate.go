package moves

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wigeonfork/wigeonfork"
)

// isCandidate reports whether host is one of the candidatesPerMove hosts that try to acquire the
// lease of the named deployment. They are chosen by rendezvous hashing.
func isCandidate(host wigeonfork.HostID, hosts []wigeonfork.HostID, name string) bool {
	own := weight(host, name)
	higher := 0
	for _, other := range hosts {
		if other != host && weight(other, name) > own {
			higher++
		}
	}
	return higher < candidatesPerMove
}

func weight(host wigeonfork.HostID, name string) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + name)
}
