// Command testverdict reads the output of go test -json on standard input and
// prints each failure and the totals. It exits with 0 only if at least one test
// passed, every failed test is listed in KNOWN-RED.txt (see isKnown), and every
// failed package has a failed test. It exits with 2 if it cannot read its input.
//
// A line "test: PACKAGE TestName" in KNOWN-RED.txt lists a test. PACKAGE is
// relative to the module. Other lines are ignored.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

const (
	modulePath   = "github.com/wigeonfork/wigeonfork"
	knownRedFile = "KNOWN-RED.txt"
	maxLineBytes = 16 << 20
)

// event is one line of the output of go test -json.
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// tally collects the results of a test run.
type tally struct {
	passed  int
	skipped int
	failed  []string
	output  map[string][]string
	// running holds the tests that have begun and not ended. In a package that hung or crashed they are
	// those that did so.
	running map[string]bool
	// packageFailed lists the failed packages. A package that fails without a
	// failed test did not build or crashed.
	packageFailed []string
}

func main() {
	known, err := readKnownRed(knownRedFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	result, err := readEvents(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(report(result, known))
}

func readKnownRed(path string) (map[string]bool, error) {
	known := map[string]bool{}
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return known, nil
	}
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if name, ok := strings.CutPrefix(line, "test: "); ok {
			known[strings.TrimSpace(name)] = true
		}
	}
	return known, nil
}

func readEvents(in io.Reader) (*tally, error) {
	result := &tally{output: map[string][]string{}, running: map[string]bool{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Println(lines.Text())
			continue
		}
		result.add(e)
	}
	return result, lines.Err()
}

func (t *tally) add(e event) {
	if e.Package == "" {
		e.Package = e.ImportPath
	}
	name := strings.TrimPrefix(strings.TrimPrefix(e.Package, modulePath), "/") + " " + e.Test
	switch {
	case e.Action == "output" || e.Action == "build-output":
		t.output[name] = append(t.output[name], e.Output)
	case e.Test == "" && e.Action == "fail":
		t.packageFailed = append(t.packageFailed, name)
	case e.Test == "":
	case e.Action == "run":
		t.running[name] = true
	case e.Action == "pass":
		t.passed++
		delete(t.running, name)
	case e.Action == "skip":
		t.skipped++
		delete(t.running, name)
	case e.Action == "fail":
		t.failed = append(t.failed, name)
		delete(t.running, name)
	}
}

// unfinished returns the output of the tests of a package that have begun and not ended.
func (t *tally) unfinished(pkg string) string {
	var names []string
	for name := range t.running {
		if strings.HasPrefix(name, pkg) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var text strings.Builder
	for _, name := range names {
		fmt.Fprintf(&text, "not ended: %s\n%s", name, strings.Join(t.output[name], ""))
	}
	return text.String()
}

func report(t *tally, known map[string]bool) int {
	sort.Strings(t.failed)
	unexpected := 0
	failedPackages := map[string]bool{}
	for _, name := range t.failed {
		pkg, test, _ := strings.Cut(name, " ")
		failedPackages[pkg+" "] = true
		if isKnown(pkg, test, known, t.failed) {
			fmt.Printf("known red: %s\n", name)
			continue
		}
		unexpected++
		fmt.Printf("FAILED: %s\n%s\n", name, strings.Join(t.output[name], ""))
	}
	for _, pkg := range t.packageFailed {
		if !failedPackages[pkg] {
			unexpected++
			fmt.Printf("FAILED: package %s\n%s%s\n", pkg, strings.Join(t.output[pkg], ""), t.unfinished(pkg))
		}
	}
	failedCount := unexpected
	if t.passed == 0 {
		fmt.Println("FAILED: no test ran")
		unexpected++
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", t.passed, failedCount, t.skipped)
	if unexpected > 0 {
		return 1
	}
	return 0
}

// isKnown reports whether the failure of a test is expected: the test or one of its
// parents is listed, or it failed because of its subtests, and that of each of them is
// expected. failed lists all failed tests.
func isKnown(pkg, test string, known map[string]bool, failed []string) bool {
	if isListed(pkg, test, known) {
		return true
	}
	subtests := 0
	for _, name := range failed {
		subtest, ok := strings.CutPrefix(name, pkg+" ")
		if !ok || !strings.HasPrefix(subtest, test+"/") {
			continue
		}
		subtests++
		if !isKnown(pkg, subtest, known, failed) {
			return false
		}
	}
	return subtests > 0
}

// isListed reports whether test or one of its parents is listed.
func isListed(pkg, test string, known map[string]bool) bool {
	for {
		if known[pkg+" "+test] {
			return true
		}
		cut := strings.LastIndex(test, "/")
		if cut < 0 {
			return false
		}
		test = test[:cut]
	}
}
