package main

import (
	"strings"
	"testing"
)

// TestIsKnown guards against a failed test that is passed over because another subtest of the same
// test is listed.
func TestIsKnown(t *testing.T) {
	known := map[string]bool{"p TestA/one": true, "p TestB": true}
	cases := []struct {
		what   string
		failed []string
		test   string
		want   bool
	}{
		{"a listed subtest", []string{"p TestA", "p TestA/one"}, "TestA/one", true},
		{"the parent of a listed subtest that failed", []string{"p TestA", "p TestA/one"}, "TestA", true},
		{"a sibling of a listed subtest", []string{"p TestA", "p TestA/one", "p TestA/two"}, "TestA/two", false},
		{"the parent of a listed and of another failed subtest", []string{"p TestA", "p TestA/one", "p TestA/two"}, "TestA", false},
		{"a parent that failed by itself", []string{"p TestA"}, "TestA", false},
		{"a subtest of a listed test", []string{"p TestB", "p TestB/any"}, "TestB/any", true},
		{"a test of another package", []string{"q TestB"}, "TestB", false},
		{"a test whose name begins like a listed one", []string{"p TestBoth"}, "TestBoth", false},
	}
	for _, c := range cases {
		pkg := "p"
		if c.failed[0][0] == 'q' {
			pkg = "q"
		}
		if got := isKnown(pkg, c.test, known, c.failed); got != c.want {
			t.Errorf("%s: known is %v", c.what, got)
		}
	}
}

// TestUnfinishedTestsAreTold guards against a hung package whose stack is lost: it is the output of a test that has
// neither passed nor failed.
func TestUnfinishedTestsAreTold(t *testing.T) {
	result, err := readEvents(strings.NewReader(`
{"Action":"run","Package":"github.com/wigeonfork/wigeonfork/p","Test":"TestDone"}
{"Action":"output","Package":"github.com/wigeonfork/wigeonfork/p","Test":"TestDone","Output":"done\n"}
{"Action":"pass","Package":"github.com/wigeonfork/wigeonfork/p","Test":"TestDone"}
{"Action":"run","Package":"github.com/wigeonfork/wigeonfork/p","Test":"TestHung"}
{"Action":"output","Package":"github.com/wigeonfork/wigeonfork/p","Test":"TestHung","Output":"goroutine 7\n"}
{"Action":"fail","Package":"github.com/wigeonfork/wigeonfork/p"}`))
	if err != nil {
		t.Fatal(err)
	}
	const want = "not ended: p TestHung\ngoroutine 7\n"
	if got := result.unfinished("p "); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
