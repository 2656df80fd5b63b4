package ctl

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/operator"
	"github.com/wigeonfork/wigeonfork/revision"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/template/store"
)

func (s *session) deploymentVerbs() []verb {
	return []verb{
		{"set", "create or change a deployment", &deploymentSet{s: s}},
		{"get", "print a deployment", &deploymentGet{s: s}},
		{"list", "list the deployments", &deploymentList{s: s}},
		{"delete", "delete a deployment", &deploymentDelete{s: s}},
		{"diff", "print what differs between two revisions", &deploymentDiff{s: s}},
		{"history", "list the accepted changes, the newest first", &deploymentHistory{s: s}},
	}
}

type deploymentSet struct {
	s *session
	setOptions
}

// Execute implements flags.Commander.
func (c *deploymentSet) Execute([]string) error {
	var d template.Deployment
	if err := readFile(c.Args.File, &d); err != nil {
		return err
	}
	return c.s.changeAndPrint(wigeonfork.Revision(c.Base), template.Change{PutDeployments: []template.Deployment{d}})
}

type deploymentGet struct {
	s *session
	nameArgument
}

// Execute implements flags.Commander.
func (c *deploymentGet) Execute([]string) error {
	_, d, err := c.s.deployment(c.Args.Name)
	if err != nil {
		return err
	}
	return c.s.printJSON(d)
}

// deployment returns a deployment and the revision at which it was read.
func (s *session) deployment(name string) (wigeonfork.Revision, *template.Deployment, error) {
	config, err := s.config()
	if err != nil {
		return 0, nil, err
	}
	d := config.Deployment(template.DeploymentName(name))
	if d == nil {
		return 0, nil, errors.Newf("deployment %q is unknown", name)
	}
	return config.Revision, d, nil
}

type deploymentList struct{ s *session }

// Execute implements flags.Commander.
func (c *deploymentList) Execute([]string) error {
	config, err := c.s.config()
	if err != nil {
		return err
	}
	return c.s.print(config.Deployments, func() {
		for i := range config.Deployments {
			d := &config.Deployments[i]
			fmt.Fprintf(c.s.out, "%s\tmodel %s\t%d backend servers\t%d workspaces\t%v\n", d.Name, d.Model, len(d.BackendServers), len(d.Workspaces), d.Versions)
		}
	})
}

type deploymentDelete struct {
	s *session
	nameArgument
}

// Execute implements flags.Commander.
func (c *deploymentDelete) Execute([]string) error {
	name := template.DeploymentName(c.Args.Name)
	return c.s.changeAndPrint(0, template.Change{DeleteDeployments: []template.DeploymentName{name}})
}

type deploymentDiff struct {
	s    *session
	Args struct {
		From uint64 `positional-arg-name:"FROM"`
		To   uint64 `positional-arg-name:"TO"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *deploymentDiff) Execute([]string) error {
	var differences []store.Difference
	request := operator.DiffRequest{From: wigeonfork.Revision(c.Args.From), To: wigeonfork.Revision(c.Args.To)}
	if err := c.s.callEntry(operator.MethodDiff, request, &differences); err != nil {
		return err
	}
	return c.s.print(differences, func() {
		for i := range differences {
			fmt.Fprintln(c.s.out, differences[i].String())
		}
	})
}

type deploymentHistory struct {
	s      *session
	Before uint64 `long:"before" description:"newest revision to list; 0 for the current one"`
	Limit  int    `long:"limit" description:"number of changes" default:"20"`
}

// Execute implements flags.Commander.
func (c *deploymentHistory) Execute([]string) error {
	return c.s.history(c.Before, c.Limit)
}

// revisionInForce reports in which failure domains a revision is not yet in force.
type revisionInForce struct {
	s    *session
	Args struct {
		Revision uint64 `positional-arg-name:"REVISION" description:"revision to check; 0 for the entry's current one"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *revisionInForce) Execute([]string) error {
	requested := wigeonfork.Revision(c.Args.Revision)
	if requested == 0 {
		config, err := c.s.config()
		if err != nil {
			return err
		}
		requested = config.Revision
	}
	var result revision.SurveyResult
	if err := c.s.callEntry(operator.MethodInForce, operator.InForceRequest{Revision: requested}, &result); err != nil {
		return err
	}
	return c.s.print(result, func() {
		fmt.Fprintf(c.s.out, "revision %d in force everywhere: %t\n", requested, result.InForce())
		for _, d := range result.Domains {
			fmt.Fprintf(c.s.out, "%s\tin force %d\tbehind %d\tunknown %d\t%v\n", d.Domain, d.InForce, d.Behind, d.Unknown, d.Lagging)
		}
	})
}
