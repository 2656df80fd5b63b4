package loadshare

// watchersPerServer is the number of entries that probe a lost server. One may be cut off from
// it, and another may just have stopped.
const watchersPerServer = 3

// WatchAssignment distributes the lost servers over the entries, so that not every entry probes
// each of them. While entries disagree on which peers are live, a server may have fewer or more
// watchers.
type WatchAssignment struct {
	// Rank is this entry's position in the order on which all entries agree.
	Rank int
	// Peers is the number of live peers.
	Peers int
}

// Covers reports whether this entry is a watcher of a server.
func (w WatchAssignment) Covers(server ServerHash) bool {
	entries := uint64(w.Peers + 1)
	if entries <= watchersPerServer {
		return true
	}
	position := (uint64(w.Rank) + entries - uint64(server)%entries) % entries
	return position < watchersPerServer
}
