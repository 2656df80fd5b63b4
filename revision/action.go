package revision

import "github.com/wigeonfork/wigeonfork"

// Send is a message to be sent to a peer. Losing it does no harm.
type Send struct {
	To      wigeonfork.HostID
	Message Message
}

// ReadTable asks for a delta from the table that starts at Since. Its outcome
// goes to Node.TableRead.
type ReadTable struct {
	Since wigeonfork.Revision
}

// Actions is what a Node wants done. The slices are valid until the next call
// to the Node.
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
