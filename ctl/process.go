package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/peer"
)

func (s *session) processVerbs() []verb {
	return []verb{
		{"dump", "print the state of a process as JSON", &dump{s: s}},
		{"gateway", "print the state of a gateway as JSON", &gatewayState{s: s}},
		{"drain", "make a process leave without cutting a request", &drain{s: s}},
		{"in-force", "tell where a revision is not yet in force", &revisionInForce{s: s}},
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

// gatewayState reads the state of a gateway at its metrics address, since gateways
// have no control connection.
type gatewayState struct {
	s    *session
	Args struct {
		Address string `positional-arg-name:"ADDRESS" description:"metrics address of the gateway"`
	} `positional-args:"yes" required:"yes"`
}

// maxStateBytes limits the size of a gateway's state.
const maxStateBytes = 16 << 20

// Execute implements flags.Commander.
func (c *gatewayState) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.s.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Args.Address+"/state", nil)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask the gateway")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return errors.Wrap(err, "read the state")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("gateway at %s answers %d", c.Args.Address, response.StatusCode)
	}
	return c.s.printJSON(json.RawMessage(body))
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
