package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/operator"
	"github.com/wigeonfork/wigeonfork/template"
)

// pollInterval is the time between two status requests of "move wait".
const pollInterval = 500 * time.Millisecond

func (s *session) moveVerbs() []verb {
	return []verb{
		{"start", "move a deployment's traffic to a version by a deadline", &moveStart{s: s}},
		{"status", "print the state of a move and its reason", &moveStatus{s: s}},
		{"wait", "wait until a move is done or taken back, showing progress", &moveWait{s: s}},
		{"stop", "take a move back", &moveStop{s: s}},
	}
}

type moveStart struct {
	s      *session
	Within time.Duration `long:"within" description:"time until the deadline" default:"1h"`
	Args   struct {
		Deployment string `positional-arg-name:"DEPLOYMENT"`
		To         string `positional-arg-name:"VERSION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *moveStart) Execute([]string) error {
	base, d, err := c.s.deployment(c.Args.Deployment)
	if err != nil {
		return err
	}
	from, err := servingVersion(d)
	if err != nil {
		return err
	}
	now := time.Now()
	next := *d
	next.Move = &template.Move{
		From: from, To: wigeonfork.Version(c.Args.To), Deadline: now.Add(c.Within),
		State: template.MovePlanned, Started: now, Changed: now,
	}
	return c.s.changeAndPrint(base, template.Change{PutDeployments: []template.Deployment{next}})
}

// servingVersion returns the version that takes all traffic.
func servingVersion(d *template.Deployment) (wigeonfork.Version, error) {
	for _, v := range d.Versions {
		if v.Share == template.FullShare {
			return v.Version, nil
		}
	}
	return "", errors.Newf("deployment %q has no version that takes all traffic; another move may be under way", d.Name)
}

// fetchMoveStatus returns the state of a deployment's move.
func (s *session) fetchMoveStatus(ctx context.Context, deployment string) (operator.MoveStatus, error) {
	var status operator.MoveStatus
	request := operator.MoveRequest{Deployment: template.DeploymentName(deployment)}
	err := s.call(ctx, s.Entry, operator.MethodMove, request, &status)
	return status, err
}

func (s *session) printMoveStatus(status operator.MoveStatus) error {
	return s.print(status, func() { fmt.Fprintln(s.out, formatMoveStatus(status)) })
}

func formatMoveStatus(status operator.MoveStatus) string {
	if status.Move == nil {
		return fmt.Sprintf("%s: no move", status.Deployment)
	}
	m := status.Move
	text := fmt.Sprintf("%s: %s to %s %s, deadline %s, shares %v", status.Deployment, m.From, m.To, m.State, m.Deadline.Format(timeFormat), status.Versions)
	if m.Reason != "" {
		text += ": " + m.Reason
	}
	if m.Controller != "" {
		text += ", driven by " + m.Controller
	}
	if status.Progress != nil && status.Progress.WaitingFor != "" {
		text += "\n  waiting: " + status.Progress.WaitingFor
	}
	for _, stop := range status.Stops {
		text += fmt.Sprintf("\n  stopped %s by %s at %s: %s", stop.Version, stop.By, stop.At.Format(timeFormat), stop.Evidence)
	}
	return text
}

type moveStatus struct {
	s *session
	nameArgument
}

// Execute implements flags.Commander.
func (c *moveStatus) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.s.Timeout)
	defer cancel()
	status, err := c.s.fetchMoveStatus(ctx, c.Args.Name)
	if err != nil {
		return err
	}
	return c.s.printMoveStatus(status)
}

type moveWait struct {
	s *session
	nameArgument
}

// Execute implements flags.Commander. It returns errReverted if the move was
// reverted, and the context's error after the timeout.
func (c *moveWait) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.s.Timeout)
	defer cancel()
	last := ""
	for {
		status, err := c.s.fetchMoveStatus(ctx, c.Args.Name)
		if err != nil {
			return err
		}
		if text := formatMoveStatus(status); text != last {
			last = text
			if err := c.s.printMoveStatus(status); err != nil {
				return err
			}
		}
		if status.Move == nil {
			return errors.Newf("deployment %q has no move", c.Args.Name)
		}
		switch status.Move.State {
		case template.MoveDone:
			return nil
		case template.MoveReverted:
			return errReverted
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

type moveStop struct {
	s      *session
	Reason string `long:"reason" description:"reason for reverting the move" default:"stopped by an operator"`
	nameArgument
}

// Execute implements flags.Commander.
func (c *moveStop) Execute([]string) error {
	base, d, err := c.s.deployment(c.Args.Name)
	if err != nil {
		return err
	}
	if d.Move == nil || d.Move.State.Final() {
		return errors.Newf("deployment %q has no move under way", c.Args.Name)
	}
	now := time.Now()
	next := *d
	move := *d.Move
	move.State = template.MoveReverting
	move.Reason = c.Reason
	move.Changed = now
	next.Move = &move
	next.Versions = []template.VersionShare{{Version: move.From, Share: template.FullShare}}
	next.Stops = append(append([]template.Stop{}, d.Stops...), template.Stop{
		Version: move.To, At: now, By: wigeonfork.HostID(c.s.Author), Evidence: c.Reason,
	})
	return c.s.changeAndPrint(base, template.Change{PutDeployments: []template.Deployment{next}})
}
