package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	. "github.com/smartystreets/goconvey/convey"
)

// settingsPage is the page that describes the settings.
const settingsPage = "../docs/SETTINGS.md"

// rows returns the rows that the page must have for the settings of s.
func rows(s any) []string {
	var rows []string
	for _, group := range flags.NewParser(s, flags.None).Groups() {
		for _, option := range group.Options() {
			rows = append(rows, row(option))
		}
	}
	return rows
}

func row(option *flags.Option) string {
	defaultValue := strings.Join(option.Default, ",")
	switch {
	case option.Required:
		defaultValue = "required"
	case defaultValue == "":
		defaultValue = "none"
	}
	return fmt.Sprintf("| `--%s` | `%s` | %s |", option.LongName, option.EnvDefaultKey, defaultValue)
}

func TestSettingsAreDocumented(t *testing.T) {
	page, err := os.ReadFile(settingsPage)
	if err != nil {
		t.Fatal(err)
	}
	Convey("The page has exactly one row for each setting, with its variable and default", t, func() {
		want := map[string]bool{}
		for _, row := range append(rows(&Entry{}), rows(&Agent{})...) {
			want[row] = true
		}
		got := map[string]bool{}
		for _, line := range strings.Split(string(page), "\n") {
			if strings.HasPrefix(line, "| `--") {
				cells := strings.SplitAfterN(line, "|", 5)
				So(cells, ShouldHaveLength, 5)
				So(strings.TrimSpace(strings.Trim(cells[4], "| ")), ShouldNotBeEmpty)
				got[strings.Join(cells[:4], "")] = true
			}
		}
		So(got, ShouldResemble, want)
	})
}

func TestHelpNamesEverySetting(t *testing.T) {
	Convey("The help text names each setting and its variable", t, func() {
		for _, s := range []interface{ Validate() error }{&Entry{}, &Agent{}} {
			err := Parse(s, []string{"--help"})
			So(IsHelp(err), ShouldBeTrue)
			for _, row := range rows(s) {
				cells := strings.Split(row, "`")
				So(err.Error(), ShouldContainSubstring, cells[1])
				So(err.Error(), ShouldContainSubstring, cells[3])
			}
		}
	})
}

func TestInvalidEntrySettingIsNamed(t *testing.T) {
	good := []string{
		"--host=a", "--failure-domain=d", "--peer-key=0123456789abcdef", "--operator-key=fedcba9876543210",
		"--table-address=127.0.0.1:1", "--objects-address=127.0.0.1:2", "--hosts-address=127.0.0.1:3", "--handle-key=0123456789abcdef",
	}
	Convey("Good settings are accepted, and each bad one is named", t, func() {
		So(Parse(&Entry{}, good), ShouldBeNil)
		for name, value := range map[string]string{
			"listen": "localhost:1", "control-listen": "1", "metrics-listen": "::1", "table-address": "x:1",
			"peer-key": "short", "operator-key": "0123456789abcdef", "handle-key": "short", "drain-limit": "25h", "log-level": "loud", "memory-limit-mb": "31", "max-descriptors": "255",
		} {
			err := Parse(&Entry{}, append(append([]string{}, good...), "--"+name+"="+value))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, name)
		}
	})
}

func TestInvalidAgentSettingIsNamed(t *testing.T) {
	good := []string{
		"--host=a", "--failure-domain=d", "--peer-key=0123456789abcdef", "--operator-key=fedcba9876543210",
		"--table-address=127.0.0.1:1", "--objects-address=127.0.0.1:2", "--hosts-address=127.0.0.1:3",
		"--backend-server=b", "--backend-address=127.0.0.1:4", "--without=resume", "--without=fencing",
	}
	Convey("Good settings are accepted, and each bad one is named", t, func() {
		So(Parse(&Agent{}, good), ShouldBeNil)
		for name, value := range map[string]string{"backend-kind": "odd", "backend-address": "b", "without": "sleep", "resume-hold": "31s"} {
			err := Parse(&Agent{}, append(append([]string{}, good...), "--"+name+"="+value))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, name)
		}
	})
}
