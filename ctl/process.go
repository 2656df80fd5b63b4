package ctl

import (
	"context"
	"encoding/json"

	"github.com/wigeonfork/wigeonfork/peer"
)

func (s *session) processVerbs() []verb {
	return []verb{
		{"dump", "print the state of a process as JSON", &dump{s: s}},
		{"drain", "make a process leave without cutting a request", &drain{s: s}},
		{"in-force", "tell where a revision is not yet in force", &inForce{s: s}},
	}
}

// addressArgument is the control address of a process.
type addressArgument struct {
	Args struct {
		Address string `positional-arg-name:"ADDRESS" description:"control address of the process"`
	} `positional-args:"yes" required:"yes"`
}

type dump struct {
	s *session
	addressArgument
}

// Execute implements flags.Commander.
func (c *dump) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.s.Timeout)
	defer cancel()
	var state json.RawMessage
	if err := c.s.call(ctx, c.Args.Address, peer.MethodDump, peer.None{}, &state); err != nil {
		return err
	}
	return c.s.printJSON(state)
}

type drain struct {
	s *session
	addressArgument
}

// Execute implements flags.Commander.
func (c *drain) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.s.Timeout)
	defer cancel()
	return c.s.call(ctx, c.Args.Address, peer.MethodDrain, peer.None{}, nil)
}
