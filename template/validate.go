package template

import (
	"fmt"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

// Limits on the number of entries in a template or deployment, and on the length of a name.
const (
	MaxParameters     = 256
	MaxBindings       = 10_000
	MaxBackendServers = 20_000
	MaxVersions       = 8
	maxNameBytes      = 128
)

// ValidationInput holds what a change is checked against in addition to the
// configuration. Weights must describe the target version of every move in the
// states planned and canary, and give a rate. A move without such a description
// is refused if its deadline is new or changed. If the deadline is unchanged, the
// move is left out of the schedule of loads. Settle is the time that the
// evaluation of a version takes after the last backend server has loaded it.
type ValidationInput struct {
	Now     time.Time
	Weights []infra.WeightInfo
	Settle  time.Duration
}

// Validate checks whether change can be applied to current. The error is an
// *InvalidError that lists all invalid fields. Deadlines are checked only if all
// other checks pass.
func Validate(current Config, change Change, checks ValidationInput) error {
	var f fieldErrors
	next := current.Apply(change)
	for i := range change.PutTemplates {
		checkTemplate(&f, &change.PutTemplates[i])
	}
	for i := range change.PutDeployments {
		d := &change.PutDeployments[i]
		checkDeployment(&f, d, next.Template(d.Template))
		checkTransition(&f, current.Deployment(d.Name), d)
	}
	checkDependents(&f, &next, change)
	checkUniqueRoutes(&f, &next)
	if f.err() == nil {
		checkDeadlines(&f, &current, &next, checks)
	}
	return f.err()
}

func checkName(f *fieldErrors, field, name string) bool {
	if name == "" {
		f.add(field, "is missing")
		return false
	}
	if len(name) > maxNameBytes {
		f.add(field, fmt.Sprintf("is longer than %d bytes", maxNameBytes))
		return false
	}
	for _, r := range name {
		if r <= ' ' || r == '/' || r == 0x7f {
			f.add(field, "holds a space, a slash or a control character")
			return false
		}
	}
	return true
}

func checkTemplate(f *fieldErrors, t *Template) {
	field := "templates." + string(t.Name)
	checkName(f, field+".name", string(t.Name))
	if len(t.Parameters) > MaxParameters {
		f.add(field+".parameters", fmt.Sprintf("has more than %d entries", MaxParameters))
	}
	seen := make(map[ParameterName]bool, len(t.Parameters))
	for i := range t.Parameters {
		p := &t.Parameters[i]
		path := field + ".parameters." + string(p.Name)
		if checkName(f, path+".name", string(p.Name)) && seen[p.Name] {
			f.add(path, "is declared twice")
		}
		seen[p.Name] = true
		checkParameter(f, path, p)
	}
}

func checkParameter(f *fieldErrors, path string, p *Parameter) {
	switch p.Type {
	case TypeString, TypeInteger, TypeNumber, TypeBoolean, TypeDuration:
	default:
		f.add(path+".type", fmt.Sprintf("%q is not a type", p.Type))
		return
	}
	if p.Minimum != nil && p.Maximum != nil && *p.Minimum > *p.Maximum {
		f.add(path+".minimum", "is greater than the maximum")
	}
	for _, v := range p.Allowed {
		if !v.HasType(p.Type) {
			f.add(path+".allowed", fmt.Sprintf("%s is not of type %s", v, p.Type))
		}
	}
	if p.Default != nil {
		checkValue(f, path+".default", p, *p.Default)
	}
}

func checkValue(f *fieldErrors, path string, p *Parameter, v Value) {
	if !v.HasType(p.Type) {
		f.add(path, fmt.Sprintf("%q is not of type %s", v, p.Type))
		return
	}
	magnitude := v.magnitude(p.Type)
	if p.Minimum != nil && magnitude < *p.Minimum {
		f.add(path, fmt.Sprintf("%s is below the minimum %g", v, *p.Minimum))
	}
	if p.Maximum != nil && magnitude > *p.Maximum {
		f.add(path, fmt.Sprintf("%s is above the maximum %g", v, *p.Maximum))
	}
	if len(p.Allowed) > 0 && !slices.Contains(p.Allowed, v) {
		f.add(path, fmt.Sprintf("%s is not one of %v", v, p.Allowed))
	}
}

// checkDependents refuses a change that deletes a template in use, or makes
// values of an existing deployment invalid.
func checkDependents(f *fieldErrors, next *Config, change Change) {
	changedTemplates := make(map[Name]bool)
	for _, name := range change.DeleteTemplates {
		changedTemplates[name] = true
	}
	for i := range change.PutTemplates {
		changedTemplates[change.PutTemplates[i].Name] = true
	}
	for i := range next.Deployments {
		d := &next.Deployments[i]
		checkedAlready := slices.ContainsFunc(change.PutDeployments, func(p Deployment) bool { return p.Name == d.Name })
		if !changedTemplates[d.Template] || checkedAlready {
			continue
		}
		t := next.Template(d.Template)
		if t == nil {
			f.add("templates."+string(d.Template), fmt.Sprintf("is used by deployment %s", d.Name))
			continue
		}
		checkAllValues(f, "deployments."+string(d.Name), d, t)
	}
}

// checkUniqueRoutes refuses two deployments that serve the same model to the same workspace.
func checkUniqueRoutes(f *fieldErrors, next *Config) {
	owners := make(map[routeKey]DeploymentName)
	for i := range next.Deployments {
		d := &next.Deployments[i]
		for _, b := range d.Workspaces {
			key := routeKey{b.Workspace, d.Model}
			owner, taken := owners[key]
			if taken {
				path := fmt.Sprintf("deployments.%s.workspaces.%s", d.Name, b.Workspace)
				f.add(path, fmt.Sprintf("is already served with model %s by deployment %s", d.Model, owner))
				continue
			}
			owners[key] = d.Name
		}
	}
}

func duplicate[T comparable](list []T) (T, bool) {
	seen := make(map[T]bool, len(list))
	for _, element := range list {
		if seen[element] {
			return element, true
		}
		seen[element] = true
	}
	var none T
	return none, false
}

// weightInfo returns the weight store's description of a version.
func (c ValidationInput) weightInfo(model wigeonfork.Model, version wigeonfork.Version) (infra.WeightInfo, bool) {
	for _, w := range c.Weights {
		if w.Model == model && w.Version == version {
			return w, true
		}
	}
	return infra.WeightInfo{}, false
}
