// Package ctl implements wigeonctl, the operators' command line, with commands for
// templates, deployments, version moves and processes.
package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/problem"
)

// The exit codes. ExitConflict means that another change was accepted first,
// ExitInvalid that the entry rejected the request as invalid, ExitReverted that the
// move was reverted.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitInvalid  = 4
	ExitReverted = 5
	ExitTimeout  = 6
)

// errReverted is the error of "move wait" if the move was reverted.
var errReverted = errors.New("the move was taken back")

// connectionOptions holds the options of every command.
type connectionOptions struct {
	Entry       string        `long:"entry" env:"WIGEON_ENTRY" description:"control address of any entry"`
	OperatorKey string        `long:"operator-key" env:"WIGEON_OPERATOR_KEY" description:"secret of the operators" required:"true"`
	Author      string        `long:"author" env:"WIGEON_AUTHOR" description:"author recorded with changes" default:"operator"`
	Timeout     time.Duration `long:"timeout" env:"WIGEON_TIMEOUT" description:"maximum time to wait" default:"10s"`
	Output      string        `short:"o" long:"output" env:"WIGEON_OUTPUT" description:"output format" choice:"text" choice:"json" default:"text"`
}

// session is one run of the command line.
type session struct {
	connectionOptions
	out io.Writer
}

// Run runs the command line with args and returns its exit code.
func Run(args []string, out, errOut io.Writer) int {
	s := &session{out: out}
	parser := flags.NewNamedParser("wigeonctl", flags.HelpFlag|flags.PassDoubleDash)
	if err := s.register(parser); err != nil {
		fmt.Fprintln(errOut, "wigeonctl:", err)
		return ExitFailure
	}
	_, err := parser.ParseArgs(args)
	if flags.WroteHelp(err) {
		fmt.Fprintln(out, err)
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(errOut, "wigeonctl:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var usageErr *flags.Error
	var problemErr *problem.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usageErr):
		return ExitUsage
	case errors.Is(err, errReverted):
		return ExitReverted
	case errors.Is(err, context.DeadlineExceeded):
		return ExitTimeout
	case errors.As(err, &problemErr) && problemErr.Code == problem.CodeConflict:
		return ExitConflict
	case errors.As(err, &problemErr) && problemErr.Code == problem.CodeInvalidRequest:
		return ExitInvalid
	default:
		return ExitFailure
	}
}

// verb is one command of a group.
type verb struct {
	name, short string
	command     any
}

func (s *session) register(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Connection", "", &s.connectionOptions); err != nil {
		return err
	}
	groups := []struct {
		name, short string
		verbs       []verb
	}{
		{"template", "templates and their parameters", s.templateVerbs()},
		{"deployment", "deployments made from templates", s.deploymentVerbs()},
		{"move", "moves of a deployment's traffic to another version", s.moveVerbs()},
	}
	for _, group := range groups {
		command, err := parser.AddCommand(group.name, group.short, "", &struct{}{})
		if err != nil {
			return err
		}
		if err := addVerbs(command, group.verbs); err != nil {
			return err
		}
	}
	return addVerbs(parser.Command, s.processVerbs())
}

func addVerbs(to *flags.Command, verbs []verb) error {
	for _, v := range verbs {
		if _, err := to.AddCommand(v.name, v.short, "", v.command); err != nil {
			return err
		}
	}
	return nil
}

// call sends a request to the process at address and decodes the answer into result.
func (s *session) call(ctx context.Context, address, method string, request, result any) error {
	if address == "" {
		return &flags.Error{Type: flags.ErrRequired, Message: "the required flag `--entry' was not specified"}
	}
	handshake := peer.Handshake{ID: s.Author, Role: peer.RoleOperator, Credential: s.OperatorKey}
	client, err := peer.Dial(ctx, address, handshake, nil)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	return client.Call(ctx, method, request, result)
}

// callEntry sends a request to the entry, within the timeout of the command line.
func (s *session) callEntry(method string, request, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	return s.call(ctx, s.Entry, method, request, result)
}
