// Package docs_test checks the documentation against the code.
package docs_test

import (
	"bytes"
	"io/fs"
	"maps"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/ctl"
	"github.com/wigeonfork/wigeonfork/settings"
)

// root is the path of the repository's top directory relative to this package.
const root = ".."

type nameSet = map[string]bool

// files returns the contents, by path, of the repository's files whose paths end in
// suffix.
func files(t *testing.T, suffix string) map[string]string {
	found := map[string]string{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.Name() == ".git" && !entry.IsDir():
			// In a linked worktree .git is a file, which is not part of the repository.
			return nil
		case entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "out"):
			return fs.SkipDir
		case entry.Type().IsRegular() && strings.HasSuffix(path, suffix):
			text, err := os.ReadFile(path)
			found[filepath.ToSlash(strings.TrimPrefix(path, root+"/"))] = string(text)
			return err
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// daemonSources returns the source files that are built into a daemon.
func daemonSources(t *testing.T) map[string]string {
	sources := files(t, ".go")
	maps.DeleteFunc(sources, func(path, _ string) bool {
		excluded := regexp.MustCompile(`_test\.go$|^(standin|experiment|embedded|demo|test|tools|telemetry)/`)
		return excluded.MatchString(path)
	})
	return sources
}

// section returns the text of a page under a second-level heading.
func section(page, heading string) string {
	_, rest, _ := strings.Cut(page, "\n## "+heading+"\n")
	text, _, _ := strings.Cut(rest, "\n## ")
	return text
}

// documented returns the names in the first column of a section's tables.
func documented(page, heading string) nameSet {
	found := nameSet{}
	for _, line := range strings.Split(section(page, heading), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 3 {
			continue
		}
		for _, name := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(cells[1], -1) {
			found[name[1]] = true
		}
	}
	return found
}

func missing(from, in nameSet) []string {
	var absent []string
	for name := range from {
		if !in[name] {
			absent = append(absent, name)
		}
	}
	slices.Sort(absent)
	return absent
}

var (
	metricCall    = regexp.MustCompile(`telemetry\.(?:Counter|Gauge|Histogram)\([^,]+, (.+?)\)(?:\.|$|,)`)
	gaugeOfCall   = regexp.MustCompile(`telemetry\.GaugeOf\([^,]+, (.+?), `)
	metricName    = regexp.MustCompile(`^"([^"]+)"(.*)$`)
	metricConst   = regexp.MustCompile(`(?m)^\s*(Metric\w+)\s*=\s*"([^"]+)"`)
	leaveCall     = regexp.MustCompile(`\.leave\("([^"]+)"\)`)
	runtimeSuffix = regexp.MustCompile(`[A-Z]+$`)
	eventCall     = regexp.MustCompile(`\.Msg\("([^"]+)"\)|\.logError\("([^"]+)"|\.Msg\((\w+)\)`)
)

// metricsOf returns the metric names in sources, and the lines whose metric name it
// could not determine. A name that ends in a run-time value is cut before that value.
func metricsOf(sources map[string]string) (found nameSet, unparsed []string) {
	found = nameSet{}
	constants := map[string]string{}
	for _, source := range sources {
		for _, m := range metricConst.FindAllStringSubmatch(source, -1) {
			constants[m[1]] = m[2]
		}
		for _, m := range leaveCall.FindAllStringSubmatch(source, -1) {
			found[m[1]] = true
		}
	}
	for path, source := range sources {
		for _, line := range strings.Split(source, "\n") {
			if !regexp.MustCompile(`telemetry\.(Counter|Gauge|GaugeOf|Histogram)\(`).MatchString(line) {
				continue
			}
			m := metricCall.FindStringSubmatch(line)
			if m == nil {
				m = gaugeOfCall.FindStringSubmatch(line)
			}
			switch {
			case m != nil && metricName.MatchString(m[1]):
				found[metricName.FindStringSubmatch(m[1])[1]] = true
			case m != nil && constants[m[1]] != "":
				found[constants[m[1]]] = true
			case m != nil && m[1] == "counter":
				// The parameter of leave. The calls of leave were read above.
			default:
				unparsed = append(unparsed, path+": "+strings.TrimSpace(line))
			}
		}
	}
	return found, unparsed
}

func TestMetricsAreDocumented(t *testing.T) {
	Convey("The metrics in the code are exactly those listed on the operators' page", t, func() {
		inCode, unparsed := metricsOf(daemonSources(t))
		So(unparsed, ShouldBeEmpty)
		So(len(inCode), ShouldBeGreaterThan, 20)
		onPage := nameSet{}
		for name := range documented(files(t, "docs/OPERATIONS.md")["docs/OPERATIONS.md"], "Metrics") {
			onPage[runtimeSuffix.ReplaceAllString(name, "")] = true
		}
		So(missing(inCode, onPage), ShouldBeEmpty)
		So(missing(onPage, inCode), ShouldBeEmpty)
	})
}

func TestLogEventsAreDocumented(t *testing.T) {
	Convey("The log events in the code are exactly those listed on the operators' page", t, func() {
		inCode := nameSet{}
		for path, source := range daemonSources(t) {
			for _, m := range eventCall.FindAllStringSubmatch(source, -1) {
				if m[3] != "" {
					// The parameter of logError. eventCall also matches the calls of logError.
					So(path+" "+m[3], ShouldEqual, "agent/agent.go event")
					continue
				}
				inCode[m[1]+m[2]] = true
			}
		}
		So(len(inCode), ShouldBeGreaterThan, 30)
		onPage := documented(files(t, "docs/OPERATIONS.md")["docs/OPERATIONS.md"], "Log events")
		So(missing(inCode, onPage), ShouldBeEmpty)
		So(missing(onPage, inCode), ShouldBeEmpty)
	})
}

// commands returns the shell commands of all pages by page. Continued lines are
// joined.
func commands(t *testing.T) map[string][]string {
	found := map[string][]string{}
	for path, page := range files(t, ".md") {
		for _, block := range regexp.MustCompile("(?s)```(?:sh)?\n(.*?)```").FindAllStringSubmatch(page, -1) {
			joined := strings.ReplaceAll(block[1], "\\\n", " ")
			found[path] = append(found[path], strings.Split(joined, "\n")...)
		}
	}
	return found
}

// splitWords splits a command into words. Of the shell's quoting it supports only
// double quotes.
func splitWords(command string) []string {
	var fields []string
	for _, m := range regexp.MustCompile(`"([^"]*)"|(\S+)`).FindAllStringSubmatch(command, -1) {
		fields = append(fields, m[1]+m[2])
	}
	return fields
}

// refusingAddress returns an address on which no process listens.
func refusingAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func TestDocumentedCommandsParse(t *testing.T) {
	Convey("Each example of a command is accepted by that command", t, func() {
		address := refusingAddress(t)
		checked := map[string]int{}
		for path, lines := range commands(t) {
			for _, line := range lines {
				if name, value, ok := strings.Cut(strings.TrimPrefix(line, "export "), "="); ok && strings.HasPrefix(line, "export WIGEON_") {
					t.Setenv(name, value)
				}
			}
			for _, line := range lines {
				args := splitWords(line)
				if len(args) == 0 {
					continue
				}
				checked[args[0]]++
				example := path + ": " + line
				switch args[0] {
				case "wigeonctl":
					So(example+runCtl(args[1:], address), ShouldEqual, example)
				case "wigeonfork-entry":
					So(example+errorSuffix(settings.Parse(&settings.Entry{}, args[1:])), ShouldEqual, example)
				case "wigeonfork-agent":
					So(example+errorSuffix(settings.Parse(&settings.Agent{}, args[1:])), ShouldEqual, example)
				case "go":
					if args[1] == "run" {
						_, err := os.Stat(filepath.Join(root, args[2]))
						So(err, ShouldBeNil)
					}
				}
			}
		}
		So(checked["wigeonctl"], ShouldBeGreaterThan, 10)
		So(checked["wigeonfork-entry"], ShouldBeGreaterThan, 0)
		So(checked["wigeonfork-agent"], ShouldBeGreaterThan, 0)
	})
}

func errorSuffix(err error) string {
	if err == nil {
		return ""
	}
	return " -> " + err.Error()
}

var hostPort = regexp.MustCompile(`^\d+\.\d+\.\d+\.\d+:\d+$`)

// runCtl runs wigeonctl with every address replaced by one that refuses connections.
// It returns "" for ctl.ExitFailure: a command that parses fails at the connection or
// at a missing file. Otherwise it returns the error output.
func runCtl(args []string, address string) string {
	local := []string{"--entry", address, "--operator-key", "any-key-of-operators"}
	for _, arg := range args {
		if hostPort.MatchString(arg) {
			arg = address
		}
		local = append(local, arg)
	}
	var out, problems bytes.Buffer
	code := ctl.Run(local, &out, &problems)
	if code == ctl.ExitFailure {
		return ""
	}
	return " -> " + problems.String()
}

func TestFilesNamedInTheReadmeExist(t *testing.T) {
	Convey("Each file that the README names exists", t, func() {
		readme := files(t, "README.md")["README.md"]
		var absent []string
		named := regexp.MustCompile("`(docs/[^`]+)`|\\]\\(([^):#]+)\\)").FindAllStringSubmatch(readme, -1)
		So(len(named), ShouldBeGreaterThan, 5)
		for _, m := range named {
			if _, err := os.Stat(filepath.Join(root, m[1]+m[2])); err != nil {
				absent = append(absent, m[1]+m[2])
			}
		}
		So(absent, ShouldBeEmpty)
	})
}

func TestGlossaryNamesExist(t *testing.T) {
	Convey("Each type or package in the glossary's last column exists", t, func() {
		sources := files(t, ".go")
		var absent []string
		checked := 0
		for _, line := range strings.Split(files(t, "docs/GLOSSARY.md")["docs/GLOSSARY.md"], "\n") {
			cells := strings.Split(line, "|")
			if len(cells) != 5 {
				continue
			}
			for _, m := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(cells[3], -1) {
				checked++
				if !exists(sources, m[1]) {
					absent = append(absent, m[1])
				}
			}
		}
		So(checked, ShouldBeGreaterThan, 30)
		So(absent, ShouldBeEmpty)
	})
}

// exists reports whether name is a package or a declaration in a package. Its form
// is pkg, pkg.Type, pkg.Constant or pkg.Type.Method.
func exists(sources map[string]string, name string) bool {
	parts := strings.Split(name, ".")
	dir := parts[0]
	if dir == "wigeonfork" {
		dir = "."
	}
	last := regexp.QuoteMeta(parts[len(parts)-1])
	declared := regexp.MustCompile(`(?m)^(type ` + last + `\b|\s*` + last + `\s.*=|func \(\w+ \*?\w+\) ` + last + `\()`)
	for path, source := range sources {
		if filepath.ToSlash(filepath.Dir(path)) == dir && (len(parts) == 1 || declared.MatchString(source)) {
			return true
		}
	}
	return false
}

func TestNoFileContainsLocalPaths(t *testing.T) {
	Convey("No file contains a path in a local directory such as /home", t, func() {
		machinePath := regexp.MustCompile(`(?:^|[\s"'=(])/(?:home|Users|root|work|mnt|private|var/folders)/\w`)
		all := files(t, "")
		So(len(all), ShouldBeGreaterThan, 100)
		var offending []string
		for path, text := range all {
			if machinePath.MatchString(text) {
				offending = append(offending, path)
			}
		}
		So(offending, ShouldBeEmpty)
	})
}
