package embedded

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/standin/engine"
)

// apiPage is the documentation page whose examples are run.
const apiPage = "../docs/API.md"

var (
	exampleBlock = regexp.MustCompile("(?s)```sh\n# answers (\\d+) with \"(.*?)\"\ncurl (.*?)\n```")
	eventID      = regexp.MustCompile(`(?m)^id: (.+)$`)
	actionKey    = regexp.MustCompile(`"idempotency_key":"([^"]+)"`)
	argument     = regexp.MustCompile(`'[^']*'|\S+`)
)

// curlRequest returns the request that curl sends for its arguments.
func curlRequest(arguments string) (*http.Request, error) {
	method, url, body := http.MethodGet, "", ""
	header := http.Header{}
	words := argument.FindAllString(arguments, -1)
	for i := 0; i < len(words); i++ {
		next := func() string { i++; return strings.Trim(words[i], "'") }
		switch words[i] {
		case "-s", "-sN":
		case "-X":
			method = next()
		case "-H":
			name, value, _ := strings.Cut(next(), ": ")
			header.Set(name, value)
		case "-d":
			method, body = http.MethodPost, next()
		default:
			url = words[i]
		}
	}
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err == nil {
		request.Header = header
	}
	return request, err
}

func TestAPIPageExamples(t *testing.T) {
	Convey("Each example on the API page gets the response that the page states", t, func() {
		page, err := os.ReadFile(apiPage)
		So(err, ShouldBeNil)
		system, err := Start(Options{Services: 1, Engines: []engine.Options{{TokensPerSecond: 200, BufferFor: time.Minute}}})
		So(err, ShouldBeNil)
		defer system.Close()
		examples := exampleBlock.FindAllStringSubmatch(string(page), -1)
		So(len(examples), ShouldEqual, strings.Count(string(page), "```sh"))
		So(len(examples), ShouldBeGreaterThan, 0)
		variables := map[string]string{"$ENTRY": system.Entries[0].Address}
		for _, example := range examples {
			command := example[3]
			for name, value := range variables {
				command = strings.ReplaceAll(command, name, value)
			}
			request, err := curlRequest(command)
			So(err, ShouldBeNil)
			response, err := http.DefaultClient.Do(request)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(response.Body)
			So(err, ShouldBeNil)
			So(response.Body.Close(), ShouldBeNil)
			So(command+" -> "+strconv.Itoa(response.StatusCode)+" "+string(body), ShouldContainSubstring, " -> "+example[1]+" ")
			So(string(body), ShouldContainSubstring, example[2])
			if ids := eventID.FindAllStringSubmatch(string(body), -1); len(ids) > 0 {
				variables["$EVENT_ID"] = ids[0][1]
			}
			if key := actionKey.FindStringSubmatch(string(body)); key != nil {
				variables["$KEY"] = key[1]
			}
		}
	})
}
