package loadshare

// watchersPerServer is the number of entries that look after a lost server: one may be
// cut off from it, another may just have gone.
const watchersPerServer = 3

// WatchAssignment shares the lost servers out among the entries, so that not all of them
// probe each one. Where entries differ on who is there, a server may have fewer
// watchers for a while, or more.
type WatchAssignment struct {
	// Rank is this entry's place in the order on which all agree.
	Rank int
	// Peers is the number of the others that are there.
	Peers int
}

// Covers tells whether this entry is a watcher of a server.
func (w WatchAssignment) Covers(server ServerHash) bool {
	entries := uint64(w.Peers + 1)
	if entries <= watchersPerServer {
		return true
	}
	position := (uint64(w.Rank) + entries - uint64(server)%entries) % entries
	return position < watchersPerServer
}
