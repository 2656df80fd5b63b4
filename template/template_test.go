package template

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/revision"
	"pgregory.net/rapid"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func pointer[T any](v T) *T { return &v }

func lettersTemplate() Template {
	return Template{Name: "letters", Parameters: []Parameter{
		{Name: "max_tokens", Type: TypeInteger, Minimum: pointer(1.0), Maximum: pointer(4096.0), Default: pointer(Number(256))},
		{Name: "timeout", Type: TypeDuration, Maximum: pointer(60.0), Default: pointer(Duration(time.Second))},
		{Name: "tone", Type: TypeString, Allowed: []Value{String("plain"), String("formal")}, Required: true},
	}}
}

func draftsDeployment() Deployment {
	return Deployment{
		Name:           "drafts",
		Template:       "letters",
		Model:          "m",
		Workspaces:     []Binding{{Workspace: "aarhus"}, {Workspace: "vejle", Values: Values{"max_tokens": Number(9)}}},
		Values:         Values{"tone": String("plain")},
		BackendServers: []wigeonfork.BackendServerID{"b1", "b2"},
		Versions:       []VersionShare{{"v1", FullShare}},
	}
}

func baseConfig() Config {
	empty := Config{}
	return empty.Apply(Change{PutTemplates: []Template{lettersTemplate()}, PutDeployments: []Deployment{draftsDeployment()}})
}

func putDeployment(change func(*Deployment)) Change {
	d := draftsDeployment()
	change(&d)
	return Change{PutDeployments: []Deployment{d}}
}

func firstField(err error) string {
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		return fmt.Sprint(err)
	}
	return invalid.Fields[0].Field
}

func TestValidateReportsInvalidField(t *testing.T) {
	moved := func(state MoveState, share PerMille) func(*Deployment) {
		return func(d *Deployment) {
			d.Versions = []VersionShare{{"v1", FullShare - share}, {"v2", share}}
			d.Move = &Move{From: "v1", To: "v2", Deadline: start.Add(time.Hour), State: state}
		}
	}
	cases := []struct {
		field  string
		change func(*Deployment)
	}{
		{"deployments.drafts.values.colour", func(d *Deployment) { d.Values["colour"] = String("red") }},
		{"deployments.drafts.values.max_tokens", func(d *Deployment) { d.Values["max_tokens"] = String("9") }},
		{"deployments.drafts.values.max_tokens", func(d *Deployment) { d.Values["max_tokens"] = Number(1.5) }},
		{"deployments.drafts.workspaces.vejle.values.max_tokens", func(d *Deployment) { d.Workspaces[1].Values = Values{"max_tokens": Number(4097)} }},
		{"deployments.drafts.values.timeout", func(d *Deployment) { d.Values["timeout"] = Duration(2 * time.Minute) }},
		{"deployments.drafts.values.tone", func(d *Deployment) { d.Values["tone"] = String("rude") }},
		{"deployments.drafts.workspaces.aarhus.values.tone", func(d *Deployment) { delete(d.Values, "tone") }},
		{"deployments.drafts.template", func(d *Deployment) { d.Template = "none" }},
		{"deployments.drafts.backend_servers", func(d *Deployment) { d.BackendServers = nil }},
		{"deployments.drafts.backend_servers", func(d *Deployment) { d.BackendServers = append(d.BackendServers, "b1") }},
		{"deployments.drafts.workspaces", func(d *Deployment) { d.Workspaces = nil }},
		{"deployments.drafts.versions", func(d *Deployment) { d.Versions[0].Share = 999 }},
		{"deployments.drafts.model", func(d *Deployment) { d.Model = "other" }},
		{"deployments.drafts.move.to", func(d *Deployment) { moved(MovePlanned, 0)(d); d.Move.To = "v1" }},
		{"deployments.drafts.move.deadline", func(d *Deployment) { moved(MovePlanned, 0)(d); d.Move.Deadline = time.Time{} }},
		{"deployments.drafts.move.state", moved(MovePlanned, 1)},
		{"deployments.drafts.move.state", moved(MoveCanary, DefaultCanaryShare+1)},
		{"deployments.drafts.move.state", moved(MoveDone, 900)},
		{"deployments.drafts.versions.v1", func(d *Deployment) { d.Stops = []Stop{{Version: "v1"}} }},
		{"deployments.drafts.move.to", moved(MovePlanned, 0)},
	}
	Convey("An invalid deployment is refused, and the error names the field", t, func() {
		for _, c := range cases {
			So(firstField(Validate(baseConfig(), putDeployment(c.change), ValidationInput{Now: start})), ShouldEqual, c.field)
		}
	})
	Convey("A valid change is accepted, the deletion of a template in use is not", t, func() {
		So(Validate(baseConfig(), putDeployment(func(*Deployment) {}), ValidationInput{Now: start}), ShouldBeNil)
		err := Validate(baseConfig(), Change{DeleteTemplates: []Name{"letters"}}, ValidationInput{})
		So(firstField(err), ShouldEqual, "templates.letters")
		var invalid *InvalidError
		So(errors.As(err, &invalid), ShouldBeTrue)
		So(invalid.Problem().Run, ShouldEqual, problem.RunNot)
	})
	Convey("A template change that makes a deployment's values invalid is refused", t, func() {
		narrowed := lettersTemplate()
		narrowed.Parameters[0].Maximum = pointer(8.0)
		narrowed.Parameters[0].Default = nil
		err := Validate(baseConfig(), Change{PutTemplates: []Template{narrowed}}, ValidationInput{})
		So(firstField(err), ShouldEqual, "deployments.drafts.workspaces.vejle.values.max_tokens")
	})
	Convey("Two deployments cannot serve the same model to the same workspace", t, func() {
		err := Validate(baseConfig(), putDeployment(func(d *Deployment) { d.Name = "more" }), ValidationInput{})
		So(firstField(err), ShouldEqual, "deployments.more.workspaces.aarhus")
	})
	Convey("A stop cannot be removed, and an active move cannot be removed or go back a state", t, func() {
		now := baseConfig()
		now.Deployments[0].Stops = []Stop{{Version: "v2"}}
		So(firstField(Validate(now, putDeployment(func(*Deployment) {}), ValidationInput{})), ShouldEqual, "deployments.drafts.stops")
		now = baseConfig()
		moved(MoveRamp, 100)(&now.Deployments[0])
		So(firstField(Validate(now, putDeployment(func(*Deployment) {}), ValidationInput{})), ShouldEqual, "deployments.drafts.move")
		So(firstField(Validate(now, putDeployment(moved(MoveCanary, 10)), ValidationInput{})), ShouldEqual, "deployments.drafts.move.state")
	})
}

func TestValidateMoveDeadline(t *testing.T) {
	weights := func(seconds int64) infra.WeightInfo {
		return infra.WeightInfo{Model: "m", Version: "v2", SizeBytes: seconds * 100, RateBytesPerSecond: 100}
	}
	move := func(name DeploymentName, deadline time.Duration) Deployment {
		d := draftsDeployment()
		d.Name = name
		d.Workspaces = []Binding{{Workspace: wigeonfork.Workspace(name)}}
		d.Move = &Move{From: "v1", To: "v2", Deadline: start.Add(deadline), State: MovePlanned}
		return d
	}
	checks := ValidationInput{Now: start, Settle: 10 * time.Second, Weights: []infra.WeightInfo{weights(50)}}
	Convey("Given two backend servers that load for 50 s each, and an evaluation of 10 s", t, func() {
		refused := func(current Config, d Deployment) *FieldError {
			err := Validate(current, Change{PutDeployments: []Deployment{d}}, checks)
			var invalid *InvalidError
			if !errors.As(err, &invalid) {
				return nil
			}
			return &invalid.Fields[0]
		}
		Convey("a deadline that is too early is refused, and the earliest one that the error names is accepted", func() {
			fieldError := refused(baseConfig(), move("a", 109*time.Second))
			So(fieldError.Field, ShouldEqual, "deployments.a.move.deadline")
			So(*fieldError.Earliest, ShouldEqual, start.Add(110*time.Second))
			So(refused(baseConfig(), move("a", 110*time.Second)), ShouldBeNil)
		})
		Convey("the load of a move in progress is scheduled first if it would miss its deadline otherwise", func() {
			current := baseConfig()
			current = current.Apply(Change{PutDeployments: []Deployment{move("a", 150*time.Second)}})
			fieldError := refused(current, move("b", 120*time.Second))
			So(*fieldError.Earliest, ShouldEqual, start.Add(210*time.Second))
			So(refused(current, move("b", 210*time.Second)), ShouldBeNil)
		})
		Convey("an urgent move is scheduled before a move with slack", func() {
			current := baseConfig()
			current = current.Apply(Change{PutDeployments: []Deployment{move("a", 300*time.Second)}})
			So(refused(current, move("b", 110*time.Second)), ShouldBeNil)
		})
	})
}

func TestSnapshot(t *testing.T) {
	Convey("Resolve returns the complete route of a request without allocations", t, func() {
		config := baseConfig()
		s := NewSnapshot(config, nil)
		route, found := s.Resolve("vejle", "m")
		So(found, ShouldBeTrue)
		So(route.Revision, ShouldEqual, 1)
		So(route.Values["max_tokens"].Int(), ShouldEqual, 9)
		So(route.Values["timeout"].Duration(), ShouldEqual, time.Second)
		So(route.Servers.Contains("b2"), ShouldBeTrue)
		_, found = s.Resolve("vejle", "other")
		So(found, ShouldBeFalse)
		So(s.KnowsWorkspace("vejle"), ShouldBeTrue)
		So(testing.AllocsPerRun(100, func() {
			route, _ := s.Resolve("aarhus", "m")
			route.PickVersion(7)
		}), ShouldEqual, 0)
	})
	Convey("Traffic follows the shares, and a stopped version takes none, whether its stop is recorded or not", t, func() {
		config := baseConfig()
		config.Deployments[0].Versions = []VersionShare{{"v1", 950}, {"v2", 50}}
		s := NewSnapshot(config, nil)
		route, _ := s.Resolve("aarhus", "m")
		counts := make(map[wigeonfork.Version]int)
		for hash := range uint64(1000) {
			version, _ := route.PickVersion(hash)
			counts[version]++
		}
		So(counts["v2"], ShouldEqual, 50)
		stop := Stop{Deployment: "drafts", Version: "v2", At: start, By: "h", Evidence: "errors"}
		stopped := s.WithStops([]Stop{stop})
		config.Deployments[0].Stops = []Stop{{Version: "v2"}}
		for _, view := range []*Snapshot{stopped, NewSnapshot(config, nil), stopped.WithStops(nil)} {
			route, _ = view.Resolve("aarhus", "m")
			So(route.Versions, ShouldResemble, []VersionShare{{"v1", 950}})
		}
		none := s.WithStops([]Stop{stop, {Deployment: "drafts", Version: "v1"}})
		route, _ = none.Resolve("aarhus", "m")
		_, any := route.PickVersion(1)
		So(any, ShouldBeFalse)
		fact, err := stop.Fact()
		So(err, ShouldBeNil)
		read, err := ParseStop(fact)
		So(err, ShouldBeNil)
		So(read, ShouldResemble, stop)
	})
}

func TestValueJSON(t *testing.T) {
	Convey("A value keeps its type in a JSON round trip, and other JSON is refused", t, func() {
		for _, v := range []Value{String("1"), Number(1), Boolean(true), Boolean(false), Duration(time.Minute)} {
			data, err := json.Marshal(v)
			So(err, ShouldBeNil)
			var read Value
			So(json.Unmarshal(data, &read), ShouldBeNil)
			So(read, ShouldResemble, v)
		}
		var v Value
		So(json.Unmarshal([]byte("null"), &v), ShouldNotBeNil)
		So(v.HasType(TypeString) || v.HasType(TypeNumber) || v.HasType(TypeBoolean), ShouldBeFalse)
		So(json.Unmarshal([]byte(`{"a":1}`), &v), ShouldNotBeNil)
		_, err := ParseValue(TypeInteger, "1.5")
		So(err, ShouldNotBeNil)
	})
}

// TestAssemblerMatchesAppliedChanges applies random changes and checks that an
// Assembler that receives only the changed items builds the same configuration
// and snapshot.
func TestAssemblerMatchesAppliedChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{}
		a := NewAssembler()
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			change := drawChange(t)
			next := config.Apply(change)
			items, err := Changes(&config, &next, change)
			if err != nil {
				t.Fatal(err)
			}
			err = a.Install(revision.Delta{From: config.Revision, To: next.Revision, Items: items})
			if err != nil {
				t.Fatal(err)
			}
			config = next
			got, _ := json.Marshal(a.Config())
			want, _ := json.Marshal(config)
			if string(got) != string(want) {
				t.Fatalf("got %s, want %s", got, want)
			}
			if got, want := describeSnapshot(a.Snapshot()), describeSnapshot(NewSnapshot(config, nil)); got != want {
				t.Fatalf("got %s, want %s", got, want)
			}
		}
	})
}

// describeSnapshot formats all routes, deployments and workspaces of a snapshot.
func describeSnapshot(s *Snapshot) string {
	var all []string
	for key := range s.routes {
		route, _ := s.Resolve(key.workspace, key.model)
		all = append(all, fmt.Sprint(route.Revision, route.Deployment, route.Workspace, route.Versions, route.Servers.ordered, route.Values))
	}
	for name := range s.deployments {
		d, _ := s.Deployment(name)
		all = append(all, fmt.Sprint(*d))
	}
	for workspace, count := range s.workspaces {
		all = append(all, fmt.Sprint(workspace, count))
	}
	slices.Sort(all)
	return fmt.Sprint(s.Revision(), all)
}

func drawChange(t *rapid.T) Change {
	name := rapid.SampledFrom([]DeploymentName{"x", "y"}).Draw(t, "name")
	if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
		return Change{DeleteDeployments: []DeploymentName{name}, DeleteTemplates: []Name{"t"}}
	}
	d := draftsDeployment()
	d.Name = name
	d.Values = nil
	d.BackendServers = rapid.SliceOfNDistinct(rapid.SampledFrom([]wigeonfork.BackendServerID{"a", "b", "c", "d"}), 1, 4, rapid.ID).Draw(t, "servers")
	d.Workspaces = []Binding{}
	for _, w := range rapid.SliceOfNDistinct(rapid.SampledFrom([]wigeonfork.Workspace{"p", "q", "r"}), 1, 3, rapid.ID).Draw(t, "workspaces") {
		b := Binding{Workspace: w}
		if rapid.Bool().Draw(t, "values") {
			b.Values = Values{"max_tokens": Number(float64(rapid.IntRange(1, 3).Draw(t, "tokens")))}
		}
		d.Workspaces = append(d.Workspaces, b)
	}
	d.Model = wigeonfork.Model("m" + string(name))
	d.Template = "t"
	tone := String(rapid.SampledFrom([]string{"plain", "formal"}).Draw(t, "tone"))
	return Change{PutDeployments: []Deployment{d}, PutTemplates: []Template{{Name: "t", Parameters: []Parameter{{Name: "tone", Type: TypeString, Default: &tone}}}}}
}

func BenchmarkResolve(b *testing.B) {
	s := NewSnapshot(largeConfig(3300), nil)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		route, _ := s.Resolve("workspace-00017", "m")
		route.PickVersion(uint64(i))
	}
}

// largeConfig returns a configuration in which each workspace has its own values.
func largeConfig(workspaces int) Config {
	d := draftsDeployment()
	d.Workspaces = nil
	for i := range workspaces {
		d.Workspaces = append(d.Workspaces, Binding{
			Workspace: wigeonfork.Workspace(fmt.Sprintf("workspace-%05d", i)),
			Values:    Values{"max_tokens": Number(float64(i%4000 + 1))},
		})
	}
	d.BackendServers = nil
	for i := range 1000 {
		d.BackendServers = append(d.BackendServers, wigeonfork.BackendServerID(fmt.Sprintf("server-%05d", i)))
	}
	empty := Config{}
	return empty.Apply(Change{PutTemplates: []Template{lettersTemplate()}, PutDeployments: []Deployment{d}})
}

// BenchmarkInstall measures the change of one workspace, from the installed item
// to the new snapshot.
func BenchmarkInstall(b *testing.B) {
	for _, workspaces := range []int{3300, 11_000, 33_000} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			empty, config := Config{}, largeConfig(workspaces)
			items, err := Changes(&empty, &config, Change{PutTemplates: config.Templates, PutDeployments: config.Deployments})
			if err != nil {
				b.Fatal(err)
			}
			a := NewAssembler()
			if err := a.Install(revision.Delta{To: 1, Items: items}); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for r := wigeonfork.Revision(2); b.Loop(); r++ {
				item := revision.Item{Key: "d/drafts/w/workspace-00017", Value: []byte(`{"max_tokens":5}`), Revision: r}
				if err := a.Install(revision.Delta{From: r - 1, To: r, Items: []revision.Item{item}}); err != nil {
					b.Fatal(err)
				}
				a.Snapshot()
			}
		})
	}
}
