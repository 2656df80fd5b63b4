package revision

import "github.com/wigeonfork/wigeonfork"

// Send is a message to be sent to a peer. The protocol tolerates its loss.
type Send struct {
	To      wigeonfork.HostID
	Message Message
}

// ReadTable requests a delta from the table that starts at Since. The result
// goes to Node.CompleteTableRead.
type ReadTable struct {
	Since wigeonfork.Revision
}

// Actions lists what the caller has to do after an event. The slices are valid
// until the next call to the Node. Installs holds the deltas that the Node has
// applied, in order. Learned holds facts that it first received from a peer.
// Surveys holds the results of surveys that have ended.
type Actions struct {
	Sends    []Send
	Reads    []ReadTable
	Installs []Delta
	Learned  []Fact
	Surveys  []SurveyResult
}

func (a *Actions) reset() {
	a.Sends = a.Sends[:0]
	a.Reads = a.Reads[:0]
	a.Installs = a.Installs[:0]
	a.Learned = a.Learned[:0]
	a.Surveys = a.Surveys[:0]
}
