package ledger

// Status is a summary of a Ledger for state dumps and metrics.
type Status struct {
	Incarnation string `json:"incarnation"`
	Claims      int    `json:"claims"`
	Running     int    `json:"running"`
	Unrecorded  int    `json:"unrecorded"`
	ReplyBytes  int    `json:"reply_bytes"`
	Draining    bool   `json:"draining"`
}

// Status returns a summary of l.
func (l *Ledger) Status() Status {
	status := Status{
		Incarnation: string(l.config.Incarnation),
		Claims:      len(l.entries),
		ReplyBytes:  l.replyBytes,
		Draining:    l.draining,
	}
	for _, e := range l.entries {
		if e.state == stateRunning {
			status.Running++
		}
		if e.ended() && !e.recorded {
			status.Unrecorded++
		}
	}
	return status
}

// full reports whether the ledger has no capacity for another running claim.
func (l *Ledger) full() bool {
	return len(l.entries) >= l.config.MaxClaims || l.replyBytes >= l.config.MaxReplyBytes
}
