package matrix

import (
	"fmt"
	"strings"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/caller"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/standin/engine"
)

// allowance is what a cell's fault excuses.
type allowance struct {
	// restarts is how often a caller may have to begin its answer anew.
	restarts int
	// unknownOutcome: an action may end with an unknownOutcome outcome.
	unknownOutcome bool
	// noBrokenAttempts: no attempt of a caller may break.
	noBrokenAttempts bool
}

// violations returns what the cell's answers and records show to be wrong.
func (b *testbed) violations(allow allowance) []string {
	var wrong []string
	for _, answer := range b.answers {
		wrong = append(wrong, checkAnswer(answer, allow)...)
		wrong = append(wrong, b.checkRefusals(answer)...)
	}
	wrong = append(wrong, b.checkLogs()...)
	return wrong
}

// expected returns the text of an undisturbed answer.
func expected(request caller.Request, version wigeonfork.Version) string {
	var text strings.Builder
	for _, token := range engine.Answer(request.Model, version, request.Prompt, request.Seed, request.MaxTokens) {
		text.Write(token.Text)
	}
	return text.String()
}

// checkAnswer checks that a caller got the whole answer to its own request,
// from one version, each token once.
func checkAnswer(answer readResult, allow allowance) []string {
	var wrong []string
	add := func(format string, args ...any) {
		wrong = append(wrong, fmt.Sprintf("%.40s: ", answer.request.Prompt)+fmt.Sprintf(format, args...))
	}
	if answer.err != nil {
		add("%v", answer.err)
		return wrong
	}
	text := string(answer.text)
	if text != expected(answer.request, firstVersion) && text != expected(answer.request, secondVersion) {
		add("text of %d bytes is no whole answer of one version", len(text))
	}
	for i := 1; i < len(answer.positions); i++ {
		if answer.positions[i] <= answer.positions[i-1] {
			add("position %d follows %d", answer.positions[i], answer.positions[i-1])
		}
	}
	if answer.last.FinishReason == "" || answer.last.CompletionTokens != int(answer.request.MaxTokens) {
		add("end says %q after %d tokens", answer.last.FinishReason, answer.last.CompletionTokens)
	}
	if allow.noBrokenAttempts && answer.brokenAttempts > 0 {
		add("%d attempts broke", answer.brokenAttempts)
	}
	if answer.restarts > allow.restarts {
		add("caller began anew %d times: %v", answer.restarts, answer.refusals)
	}
	return wrong
}

// checkRefusals checks that no engine has accepted a request which a refusal
// says was not run.
func (b *testbed) checkRefusals(answer readResult) []string {
	var wrong []string
	for _, refusal := range answer.refusals {
		// A refused resume says nothing of the generations before it.
		if refusal.Run != problem.RunNot || refusal.Step == problem.StepResume {
			continue
		}
		for i, e := range b.Standins.Engines {
			for _, run := range e.Runs() {
				if strings.HasPrefix(run.StreamID, string(refusal.RequestID)+".") {
					wrong = append(wrong, fmt.Sprintf("engine %d ran %s, which was refused as not run: %v", i, run.StreamID, refusal))
				}
			}
		}
	}
	return wrong
}

// maxLogExcerpt bounds what is told of a crash.
const maxLogExcerpt = 2000

// checkLogs finds the processes that crashed or raced.
func (b *testbed) checkLogs() []string {
	var wrong []string
	check := func(role, log string) {
		for _, sign := range []string{"panic: ", "panic serving", "fatal error: ", "WARNING: DATA RACE"} {
			if at := strings.Index(log, sign); at >= 0 {
				wrong = append(wrong, role+" log: "+log[at:min(len(log), at+maxLogExcerpt)])
			}
		}
	}
	for _, e := range b.Entries {
		check("entry", e.Log())
	}
	for _, a := range b.allAgents() {
		check("agent", a.Log())
	}
	return wrong
}
