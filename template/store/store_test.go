package store

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/revision"
	"github.com/wigeonfork/wigeonfork/template"
)

var (
	ctx = context.Background()
	now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
)

func newTemplate(name template.Name) template.Template {
	minimum, maximum := 1.0, 8192.0
	length := template.Number(256)
	return template.Template{Name: name, Parameters: []template.Parameter{
		{Name: "max_tokens", Type: template.TypeInteger, Default: &length, Minimum: &minimum, Maximum: &maximum},
	}}
}

func templateChange() template.Change {
	return template.Change{PutTemplates: []template.Template{newTemplate("letters")}}
}

func deployment(name string, tokens float64, servers int) template.Deployment {
	d := template.Deployment{
		Name:       template.DeploymentName(name),
		Template:   "letters",
		Model:      "m",
		Workspaces: []template.Binding{{Workspace: wigeonfork.Workspace("w-" + name), Values: template.Values{"max_tokens": template.Number(tokens)}}},
		Versions:   []template.VersionShare{{Version: "v1", Share: template.FullShare}},
	}
	for i := range servers {
		d.BackendServers = append(d.BackendServers, wigeonfork.BackendServerID(fmt.Sprintf("server-%05d", i)))
	}
	return d
}

func putRequest(id, author string, base wigeonfork.Revision, d template.Deployment) Request {
	return Request{OperationID: id, Author: author, Base: base, Now: now,
		Change: template.Change{PutDeployments: []template.Deployment{d}}}
}

// newPreparedStore returns a store, with its fakes, that holds a template and the
// deployment "a".
func newPreparedStore() (*fakeTable, *fakeObjects, *Store) {
	table, objects := newFakeTable(), newFakeObjects()
	s := New(table, objects, Options{Backoff: time.Nanosecond})
	_, err := s.Accept(ctx, Request{OperationID: "t", Author: "ane", Now: now, Change: templateChange()})
	So(err, ShouldBeNil)
	accepted, err := s.Accept(ctx, putRequest("d", "ane", 0, deployment("a", 10, 2)))
	So(err, ShouldBeNil)
	So(accepted.Revision, ShouldEqual, 2)
	return table, objects, s
}

func runState(err error) problem.RunState {
	var typed *problem.Error
	if !errors.As(err, &typed) {
		return ""
	}
	return typed.Run
}

func TestAcceptWithLostTableResponses(t *testing.T) {
	Convey("Given an accepted deployment", t, func() {
		table, _, s := newPreparedStore()
		change := putRequest("op", "ane", 2, deployment("a", 20, 2))
		Convey("a change is accepted if one response is lost after the write", func() {
			lost := false
			table.afterCommit = func(id string) error {
				if lost || !strings.Contains(id, "op") {
					return nil
				}
				lost = true
				return unknownOutcomeError(id)
			}
			accepted, err := s.Accept(ctx, change)
			So(err, ShouldBeNil)
			So(accepted.Revision, ShouldEqual, 3)
			So(lost, ShouldBeTrue)
		})
		Convey("a change whose responses are all lost is found by reading the log", func() {
			table.afterCommit = unknownOutcomeError
			accepted, err := s.Accept(ctx, change)
			So(err, ShouldBeNil)
			So(accepted, ShouldResemble, AcceptResult{Revision: 3, Repeated: true})
		})
		Convey("the outcome is unknown if reads fail too, and a later resent request returns it", func() {
			table.afterCommit = func(id string) error {
				table.beforeCall = unknownOutcomeError
				return unknownOutcomeError(id)
			}
			_, err := s.Accept(ctx, change)
			So(runState(err), ShouldEqual, problem.RunUnknown)
			change.Resent = true
			_, err = s.Accept(ctx, change)
			So(runState(err), ShouldEqual, problem.RunUnknown)
			table.beforeCall = func(string) error { return nil }
			table.afterCommit = table.beforeCall
			accepted, err := New(table, newFakeObjects(), Options{}).Accept(ctx, change)
			So(err, ShouldBeNil)
			So(accepted, ShouldResemble, AcceptResult{Revision: 3, Repeated: true})
			So(len(table.rows), ShouldEqual, 6)
		})
		Convey("a table that goes down after a lost response leaves the outcome unknown", func() {
			table.afterCommit = func(id string) error {
				table.beforeCall = notDoneError
				return unknownOutcomeError(id)
			}
			_, err := s.Accept(ctx, change)
			So(runState(err), ShouldEqual, problem.RunUnknown)
		})
		Convey("a log with a gap is refused", func() {
			_, err := emptyView().withEntries([]LogEntry{{Revision: 1}, {Revision: 3}})
			So(err, ShouldNotBeNil)
		})
		Convey("a write that was not done is reported as not run and has no effect", func() {
			table.beforeCall = func(id string) error {
				if strings.Contains(id, "op") {
					return notDoneError(id)
				}
				return nil
			}
			_, err := s.Accept(ctx, change)
			So(runState(err), ShouldEqual, problem.RunNot)
			table.beforeCall = func(string) error { return nil }
			config, err := s.Config(ctx)
			So(err, ShouldBeNil)
			So(config.Revision, ShouldEqual, 2)
		})
		Convey("an operation ID cannot be reused for a different change", func() {
			_, err := s.Accept(ctx, change)
			So(err, ShouldBeNil)
			change.Change.PutDeployments[0] = deployment("a", 99, 2)
			_, err = s.Accept(ctx, change)
			var typed *problem.Error
			So(errors.As(err, &typed), ShouldBeTrue)
			So(typed.Code, ShouldEqual, problem.CodeKeyReused)
		})
	})
}

func TestConcurrentChanges(t *testing.T) {
	Convey("Of two changes on the same base, the second gets a conflict that names the first", t, func() {
		_, _, s := newPreparedStore()
		_, err := s.Accept(ctx, putRequest("x", "bo", 2, deployment("a", 30, 2)))
		So(err, ShouldBeNil)
		_, err = s.Accept(ctx, putRequest("y", "ane", 2, deployment("a", 40, 2)))
		var conflict *ConflictError
		So(errors.As(err, &conflict), ShouldBeTrue)
		So(conflict.Winner.Author, ShouldEqual, "bo")
		So(conflict.Winner.Revision, ShouldEqual, 3)
		So(conflict.Error(), ShouldContainSubstring, "max_tokens = 30")
		So(conflict.Problem().Run, ShouldEqual, problem.RunNot)
		_, err = s.Accept(ctx, putRequest("z", "ane", 2, deployment("b", 40, 2)))
		So(err, ShouldBeNil)
	})
	Convey("Concurrent changes each get a different revision, and none is lost", t, func() {
		table, objects, _ := newPreparedStore()
		const operators = 8
		var group sync.WaitGroup
		revisions := make([]wigeonfork.Revision, operators)
		for i := range operators {
			group.Add(1)
			go func() {
				defer group.Done()
				s := New(table, objects, Options{Attempts: 100, Backoff: time.Nanosecond})
				accepted, err := s.Accept(ctx, putRequest(fmt.Sprint("op", i), "ane", 2, deployment(fmt.Sprint("n", i), 5, 1)))
				if err == nil {
					revisions[i] = accepted.Revision
				}
			}()
		}
		group.Wait()
		seen := make(map[wigeonfork.Revision]bool)
		for _, r := range revisions {
			So(r, ShouldBeBetween, 2, 3+operators)
			seen[r] = true
		}
		So(len(seen), ShouldEqual, operators)
		config, err := New(table, objects, Options{}).Config(ctx)
		So(err, ShouldBeNil)
		So(len(config.Deployments), ShouldEqual, operators+1)
	})
	Convey("A change that is conditional on a lease is refused after the lease row has changed", t, func() {
		table, _, s := newPreparedStore()
		table.apply(infra.Transaction{OperationID: "lease", Writes: []infra.Write{{Key: "lease/a", Value: []byte("1")}}})
		request := putRequest("op", "controller", 0, deployment("a", 20, 2))
		request.Conditions = []infra.Condition{{Key: "lease/a", Revision: table.revision - 1}}
		_, err := s.Accept(ctx, request)
		var typed *problem.Error
		So(errors.As(err, &typed), ShouldBeTrue)
		So(typed.Code, ShouldEqual, problem.CodeStaleOrder)
		So(typed.Run, ShouldEqual, problem.RunNot)
	})
	Convey("An invalid change is refused, and the error names the field", t, func() {
		_, _, s := newPreparedStore()
		_, err := s.Accept(ctx, putRequest("op", "ane", 0, deployment("a", 0, 2)))
		var invalid *template.InvalidError
		So(errors.As(err, &invalid), ShouldBeTrue)
		So(invalid.Fields[0].Field, ShouldEqual, "deployments.a.workspaces.w-a.values.max_tokens")
	})
}

func TestCompactionPreservesStateAndHistory(t *testing.T) {
	Convey("Given a log with 23 entries, one with its payload in the object store", t, func() {
		table, objects, s := newPreparedStore()
		for i := range 20 {
			_, err := s.Accept(ctx, putRequest(fmt.Sprint("op", i), "ane", 0, deployment("a", float64(i+1), 2)))
			So(err, ShouldBeNil)
		}
		_, err := s.Accept(ctx, putRequest("large", "ane", 0, deployment("b", 5, 5000)))
		So(err, ShouldBeNil)
		for _, row := range table.rows {
			So(len(row.Value), ShouldBeLessThanOrEqualTo, maxInlineBytes+1024)
		}
		before, err := s.Config(ctx)
		So(err, ShouldBeNil)
		checkState := func() {
			reopened := New(table, objects, Options{Backoff: time.Nanosecond})
			config, err := reopened.Config(ctx)
			So(err, ShouldBeNil)
			So(config, ShouldResemble, before)
			history, err := reopened.History(ctx, 0, 100)
			So(err, ShouldBeNil)
			So(len(history), ShouldEqual, 23)
			for i := range history {
				So(history[i].Revision, ShouldEqual, 23-i)
			}
			differences, err := reopened.Diff(ctx, 3, 22)
			So(err, ShouldBeNil)
			So(len(differences), ShouldEqual, 1)
			So(differences[0].String(), ShouldEqual, "deployments.a.workspaces.w-a.max_tokens = 20, was 1")
			accepted, err := reopened.Accept(ctx, Request{OperationID: "op0", Resent: true, Author: "ane", Now: now,
				Change: template.Change{PutDeployments: []template.Deployment{deployment("a", 1, 2)}}})
			So(err, ShouldBeNil)
			So(accepted, ShouldResemble, AcceptResult{Revision: 3, Repeated: true})
		}
		checkState()
		Convey("two compactions preserve state, history and operation IDs", func() {
			deleted, err := s.Compact(ctx, "c1", 5)
			So(err, ShouldBeNil)
			So(deleted, ShouldEqual, 18)
			checkState()
			_, err = s.Compact(ctx, "c2", 2)
			So(err, ShouldBeNil)
			checkState()
			old, err := s.Since(ctx, 3)
			So(err, ShouldBeNil)
			So(old.To, ShouldEqual, 23)
		})
		Convey("a compaction that fails at any step and is run again preserves them", func() {
			for step := range 6 {
				calls := 0
				table.beforeCall = func(id string) error {
					if strings.HasPrefix(id, "config/compact") {
						if calls++; calls > step {
							return notDoneError(id)
						}
					}
					return nil
				}
				objects.fail = func(_, name string) error {
					if calls++; calls > step {
						return errDown
					}
					return nil
				}
				_, _ = s.Compact(ctx, fmt.Sprint("c", step), 5)
				table.beforeCall = func(string) error { return nil }
				objects.fail = func(_, _ string) error { return nil }
				checkState()
			}
			_, err := s.Compact(ctx, "last", 5)
			So(err, ShouldBeNil)
			checkState()
		})
		Convey("concurrent compactions by four stores preserve them", func() {
			var group sync.WaitGroup
			for i := range 4 {
				group.Add(1)
				go func() {
					defer group.Done()
					_, _ = New(table, objects, Options{Backoff: time.Nanosecond}).Compact(ctx, fmt.Sprint("c", i), 4)
				}()
			}
			group.Wait()
			checkState()
		})
	})
}

// TestReadDuringCompaction guards against a process that starts, or an operator's command that fails,
// while the log is compacted: the rows of the second page were deleted after the first was read.
func TestReadDuringCompaction(t *testing.T) {
	Convey("A log that is compacted between two pages of a read is read again", t, func() {
		table, objects, s := newPreparedStore()
		for i := range scanLimit + 50 {
			_, err := s.Accept(ctx, putRequest(fmt.Sprint("op", i), "ane", 0, deployment("a", float64(i+1), 1)))
			So(err, ShouldBeNil)
		}
		want, err := s.Config(ctx)
		So(err, ShouldBeNil)
		scans := 0
		table.beforeCall = func(operation string) error {
			if operation != "scan" {
				return nil
			}
			if scans++; scans == 2 {
				table.beforeCall = func(string) error { return nil }
				_, err := s.Compact(ctx, "c", 5)
				return err
			}
			return nil
		}
		reopened := New(table, objects, Options{Backoff: time.Nanosecond})
		config, err := reopened.Config(ctx)
		So(err, ShouldBeNil)
		So(config, ShouldResemble, want)
	})
}

func TestNodeFollowsTable(t *testing.T) {
	Convey("A node that follows the table has the same configuration, with one scan per read", t, func() {
		table, _, s := newPreparedStore()
		node := revision.New(revision.Options{ID: "h", Seed: 1})
		assembler := template.NewAssembler()
		follow := func() {
			delta, err := s.Since(ctx, node.Revision())
			So(err, ShouldBeNil)
			for _, installed := range node.CompleteTableRead(now, delta, nil).Installs {
				So(assembler.Install(installed), ShouldBeNil)
			}
		}
		follow()
		_, err := s.Accept(ctx, putRequest("op", "ane", 0, deployment("a", 77, 3)))
		So(err, ShouldBeNil)
		_, err = s.Accept(ctx, Request{OperationID: "del", Author: "ane", Now: now,
			Change: template.Change{PutDeployments: []template.Deployment{deployment("b", 1, 1)}}})
		So(err, ShouldBeNil)
		_, err = s.Accept(ctx, Request{OperationID: "del2", Author: "ane", Now: now,
			Change: template.Change{DeleteDeployments: []template.DeploymentName{"b"}}})
		So(err, ShouldBeNil)
		scans := table.scans
		follow()
		So(table.scans, ShouldEqual, scans+1)
		config, err := s.Config(ctx)
		So(err, ShouldBeNil)
		So(assembler.Config(), ShouldResemble, config)
		So(assembler.RecordsStop(template.Stop{Deployment: "b", Version: "v1"}), ShouldBeTrue)
		So(assembler.RecordsStop(template.Stop{Deployment: "unknown", Version: "v1"}), ShouldBeFalse)
		route, found := template.NewSnapshot(config, nil).Resolve("w-a", "m")
		So(found, ShouldBeTrue)
		So(route.Values["max_tokens"].Int(), ShouldEqual, 77)
	})
}
