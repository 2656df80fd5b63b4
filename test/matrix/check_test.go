package matrix

import (
	"fmt"
	"strings"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/caller"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/standin/engine"
)

// allowance adapts the checks of a cell to its fault.
type allowance struct {
	// restarts is how often a caller may have to restart its answer from the beginning.
	restarts int
	// unknownOutcome permits that an action ends with an unknown outcome.
	unknownOutcome bool
	// noBrokenAttempts requires that no attempt of a caller breaks.
	noBrokenAttempts bool
}

// violations returns the violations that the cell's answers and records show.
func (b *testbed) violations(allow allowance) []string {
	var wrong []string
	for _, answer := range b.answers {
		wrong = append(wrong, checkAnswer(answer, allow)...)
		wrong = append(wrong, b.checkRefusals(answer)...)
	}
	wrong = append(wrong, b.checkLogs()...)
	return wrong
}

// expected returns the text of an answer without faults.
func expected(request caller.Request, version wigeonfork.Version) string {
	var text strings.Builder
	for _, token := range engine.Answer(request.Model, version, request.Prompt, request.Seed, request.MaxTokens) {
		text.Write(token.Text)
	}
	return text.String()
}

// checkAnswer checks that a caller received the complete answer to its own request, from one
// version, with each token once.
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

// checkRefusals checks that no engine ran a request that was refused as not run.
func (b *testbed) checkRefusals(answer readResult) []string {
	var wrong []string
	for _, refusal := range answer.refusals {
		// A refused resume makes no statement about the earlier generations.
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

// maxLogExcerpt bounds the part of the log that is reported for a crash, in bytes.
const maxLogExcerpt = 2000

// checkLogs reports the processes that crashed or had a data race.
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
