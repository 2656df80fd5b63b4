package ctl

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/operator"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/template/store"
)

// setOptions are the options of the commands that read a template or deployment
// from a file.
type setOptions struct {
	Base uint64 `long:"base" description:"refuse the change if the object was changed after this revision"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"JSON file, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// nameArgument is the name of a template or deployment.
type nameArgument struct {
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

func (s *session) templateVerbs() []verb {
	return []verb{
		{"set", "create or change a template", &templateSet{s: s}},
		{"get", "print a template", &templateGet{s: s}},
		{"list", "list the templates", &templateList{s: s}},
		{"delete", "delete a template that no deployment uses", &templateDelete{s: s}},
	}
}

type templateSet struct {
	s *session
	setOptions
}

// Execute implements flags.Commander.
func (c *templateSet) Execute([]string) error {
	var t template.Template
	if err := readFile(c.Args.File, &t); err != nil {
		return err
	}
	return c.s.changeAndPrint(wigeonfork.Revision(c.Base), template.Change{PutTemplates: []template.Template{t}})
}

func (s *session) changeAndPrint(base wigeonfork.Revision, change template.Change) error {
	accepted, err := s.change(base, change)
	if err != nil {
		return err
	}
	return s.print(accepted, func() { fmt.Fprintf(s.out, "accepted at revision %d\n", accepted.Revision) })
}

type templateGet struct {
	s *session
	nameArgument
}

// Execute implements flags.Commander.
func (c *templateGet) Execute([]string) error {
	config, err := c.s.config()
	if err != nil {
		return err
	}
	t := config.Template(template.Name(c.Args.Name))
	if t == nil {
		return errors.Newf("template %q is unknown", c.Args.Name)
	}
	return c.s.printJSON(t)
}

type templateList struct{ s *session }

// Execute implements flags.Commander.
func (c *templateList) Execute([]string) error {
	config, err := c.s.config()
	if err != nil {
		return err
	}
	return c.s.print(config.Templates, func() {
		for i := range config.Templates {
			t := &config.Templates[i]
			fmt.Fprintf(c.s.out, "%s\t%d parameters\t%s\n", t.Name, len(t.Parameters), t.Description)
		}
	})
}

type templateDelete struct {
	s *session
	nameArgument
}

// Execute implements flags.Commander.
func (c *templateDelete) Execute([]string) error {
	return c.s.changeAndPrint(0, template.Change{DeleteTemplates: []template.Name{template.Name(c.Args.Name)}})
}

// config returns the entry's current configuration.
func (s *session) config() (template.Config, error) {
	var config template.Config
	err := s.callEntry(operator.MethodConfig, peer.None{}, &config)
	return config, err
}

// history prints at most limit changes, the newest first. It starts at revision
// before, or at the current one if before is 0.
func (s *session) history(before uint64, limit int) error {
	var entries []store.LogEntry
	request := operator.HistoryRequest{Before: wigeonfork.Revision(before), Limit: limit}
	if err := s.callEntry(operator.MethodHistory, request, &entries); err != nil {
		return err
	}
	return s.print(entries, func() {
		for _, entry := range entries {
			fmt.Fprintf(s.out, "%d\t%s\t%s\t%v\n", entry.Revision, entry.At.Format(timeFormat), entry.Author, entry.Summary)
		}
	})
}
