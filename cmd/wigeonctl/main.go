// Command wigeonctl is the operators' command line.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/wigeonfork/wigeonfork/peer"
)

// options are the settings of every verb.
type options struct {
	OperatorKey string        `long:"operator-key" env:"WIGEON_OPERATOR_KEY" description:"secret of the operators" required:"true"`
	Timeout     time.Duration `long:"timeout" env:"WIGEON_TIMEOUT" description:"longest time to wait for an answer" default:"10s"`

	Dump  dumpCommand  `command:"dump" description:"print the state of a process as JSON"`
	Drain drainCommand `command:"drain" description:"make a process leave without cutting a request"`
}

var settings options

// target is the process that a verb is about.
type target struct {
	Args struct {
		Address string `positional-arg-name:"ADDRESS" description:"control address of the process"`
	} `positional-args:"yes" required:"yes"`
}

type dumpCommand struct{ target }

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	var dump json.RawMessage
	if err := call(c.Args.Address, peer.MethodDump, &dump); err != nil {
		return err
	}
	return print(dump)
}

type drainCommand struct{ target }

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	return call(c.Args.Address, peer.MethodDrain, nil)
}

func call(address, method string, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), settings.Timeout)
	defer cancel()
	hello := peer.Hello{ID: "wigeonctl", Role: peer.RoleOperator, Credential: settings.OperatorKey}
	client, err := peer.Dial(ctx, address, hello, nil)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	return client.Call(ctx, method, peer.None{}, result)
}

func print(value json.RawMessage) error {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(value)
}

func main() {
	if _, err := flags.NewParser(&settings, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "wigeonctl:", err)
		os.Exit(1)
	}
}
