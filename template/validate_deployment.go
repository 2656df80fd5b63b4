package template

import (
	"fmt"

	"github.com/wigeonfork/wigeonfork"
)

func checkDeployment(f *fieldErrors, d *Deployment, t *Template) {
	path := "deployments." + string(d.Name)
	checkName(f, path+".name", string(d.Name))
	checkName(f, path+".model", string(d.Model))
	checkBackendServers(f, path, d)
	checkWorkspaces(f, path, d)
	checkVersions(f, path, d)
	checkMove(f, path, d)
	if t == nil {
		f.add(path+".template", fmt.Sprintf("template %q does not exist", d.Template))
		return
	}
	checkAllValues(f, path, d, t)
}

func checkBackendServers(f *fieldErrors, path string, d *Deployment) {
	path += ".backend_servers"
	if len(d.BackendServers) == 0 {
		f.add(path, "is empty: nothing could serve the deployment")
	}
	if len(d.BackendServers) > MaxBackendServers {
		f.add(path, fmt.Sprintf("has more than %d entries", MaxBackendServers))
	}
	for _, id := range d.BackendServers {
		checkName(f, path, string(id))
	}
	if id, twice := duplicate(d.BackendServers); twice {
		f.add(path, fmt.Sprintf("lists %s twice", id))
	}
}

func checkWorkspaces(f *fieldErrors, path string, d *Deployment) {
	path += ".workspaces"
	if len(d.Workspaces) == 0 {
		f.add(path, "is empty")
	}
	if len(d.Workspaces) > MaxBindings {
		f.add(path, fmt.Sprintf("has more than %d entries", MaxBindings))
	}
	names := make([]wigeonfork.Workspace, len(d.Workspaces))
	for i, b := range d.Workspaces {
		names[i] = b.Workspace
		checkName(f, path, string(b.Workspace))
	}
	if name, twice := duplicate(names); twice {
		f.add(path, fmt.Sprintf("lists %s twice", name))
	}
}

func checkVersions(f *fieldErrors, path string, d *Deployment) {
	path += ".versions"
	if len(d.Versions) > MaxVersions {
		f.add(path, fmt.Sprintf("has more than %d entries", MaxVersions))
	}
	names := make([]wigeonfork.Version, len(d.Versions))
	var sum int
	for i, v := range d.Versions {
		names[i] = v.Version
		sum += int(v.Share)
		checkName(f, path, string(v.Version))
		if v.Share > 0 && d.Stopped(v.Version) {
			f.add(path+"."+string(v.Version), "is stopped and can take no traffic")
		}
	}
	if sum != int(FullShare) {
		f.add(path, fmt.Sprintf("shares sum to %d, not %d", sum, FullShare))
	}
	if name, twice := duplicate(names); twice {
		f.add(path, fmt.Sprintf("lists %s twice", name))
	}
}

func checkMove(f *fieldErrors, path string, d *Deployment) {
	if d.CanaryShare > FullShare {
		f.add(path+".canary_share", fmt.Sprintf("is above %d", FullShare))
	}
	m := d.Move
	if m == nil {
		return
	}
	path += ".move"
	checkName(f, path+".from", string(m.From))
	checkName(f, path+".to", string(m.To))
	if m.From == m.To {
		f.add(path+".to", "is the version that the move starts from")
	}
	if m.Deadline.IsZero() {
		f.add(path+".deadline", "is missing")
	}
	if !m.State.valid() {
		f.add(path+".state", fmt.Sprintf("%q is not a state", m.State))
	}
	if !m.State.Final() && m.State != MoveReverting && d.Stopped(m.To) {
		f.add(path+".to", "is stopped and can take no traffic")
	}
	checkMoveShare(f, path, d)
}

// checkMoveShare checks the share of the new version in each state.
func checkMoveShare(f *fieldErrors, path string, d *Deployment) {
	share := d.Share(d.Move.To)
	switch d.Move.State {
	case MovePlanned, MoveReverting, MoveReverted:
		if share > 0 {
			f.add(path+".state", fmt.Sprintf("%s gives the new version no traffic, but it has %d", d.Move.State, share))
		}
	case MoveCanary:
		if share > d.EffectiveCanaryShare() {
			f.add(path+".state", fmt.Sprintf("canary gives the new version at most %d, but it has %d", d.EffectiveCanaryShare(), share))
		}
	case MoveDone:
		if share != FullShare {
			f.add(path+".state", fmt.Sprintf("done gives the new version %d, but it has %d", FullShare, share))
		}
	}
}

func checkAllValues(f *fieldErrors, path string, d *Deployment, t *Template) {
	checkValues(f, path+".values", t, d.Values)
	for i := range d.Workspaces {
		b := &d.Workspaces[i]
		sub := path + ".workspaces." + string(b.Workspace)
		checkValues(f, sub+".values", t, b.Values)
		checkRequired(f, sub, t, d.Values, b.Values)
	}
}

func checkValues(f *fieldErrors, path string, t *Template, values Values) {
	for _, name := range values.Names() {
		p := t.parameter(name)
		if p == nil {
			f.add(path+"."+string(name), fmt.Sprintf("template %s has no such parameter", t.Name))
			continue
		}
		checkValue(f, path+"."+string(name), p, values[name])
	}
}

func checkRequired(f *fieldErrors, path string, t *Template, layers ...Values) {
	for i := range t.Parameters {
		p := &t.Parameters[i]
		if !p.Required || p.Default != nil {
			continue
		}
		set := false
		for _, layer := range layers {
			_, found := layer[p.Name]
			set = set || found
		}
		if !set {
			f.add(path+".values."+string(p.Name), "is required")
		}
	}
}

// checkTransition checks that the existing deployment old may be changed to d. A
// nil old means that d is new.
func checkTransition(f *fieldErrors, old, d *Deployment) {
	path := "deployments." + string(d.Name)
	if old == nil {
		return
	}
	if old.Model != d.Model {
		f.add(path+".model", "cannot change: make another deployment")
	}
	for i := range old.Stops {
		if !d.Stopped(old.Stops[i].Version) {
			f.add(path+".stops", fmt.Sprintf("the stop of %s cannot be taken back", old.Stops[i].Version))
		}
	}
	checkMoveTransition(f, path+".move", old.Move, d.Move)
}

func checkMoveTransition(f *fieldErrors, path string, old, now *Move) {
	if old == nil || old.State.Final() {
		return
	}
	if now == nil || now.From != old.From || now.To != old.To {
		f.add(path, fmt.Sprintf("the move from %s to %s has not ended", old.From, old.To))
		return
	}
	if !old.State.canBecome(now.State) {
		f.add(path+".state", fmt.Sprintf("%s cannot become %s", old.State, now.State))
	}
}

// canBecome reports whether a move may go from state s to state next.
func (s MoveState) canBecome(next MoveState) bool {
	if s == next {
		return true
	}
	switch s {
	case MovePlanned:
		return next == MoveCanary || next == MoveReverting || next == MoveReverted
	case MoveCanary:
		return next == MoveRamp || next == MoveReverting || next == MoveReverted
	case MoveRamp:
		return next == MoveDone || next == MoveReverting || next == MoveReverted
	case MoveReverting:
		return next == MoveReverted
	default:
		return false
	}
}
