package capacity

import (
	"time"

	"github.com/wigeonfork/wigeonfork/configuration"
)

// The design size.
const (
	designEntries           = 1_100
	designAgents            = 10_000
	designHosts             = designEntries + designAgents
	designRequestsPerSecond = 180_000.0
	designTokensPerSecond   = 36_000_000.0
	designWorkspaces        = 3_300
	designModels            = 10
	designDomains           = 16
	designChangesPerDay     = 31_000.0
	designRestartsPerDay    = 1_300.0
	secondsPerDay           = 86_400.0

	entryRequestsPerSecond = designRequestsPerSecond / designEntries
	entryTokensPerSecond   = designTokensPerSecond / designEntries
	agentTokensPerSecond   = designTokensPerSecond / designAgents

	// secondsPerToken is the time between two tokens of an answer.
	secondsPerToken = 0.048
	openStreams     = designTokensPerSecond * secondsPerToken

	// A twentieth of all answers are long: two minutes of output.
	longAnswerShare  = 0.05
	longAnswerTokens = 2 * 60 / secondsPerToken
)

// The users' bounds.
const (
	boundProcessorPercent = 1.1 // of a core
	boundMemoryMB         = 128.0
	boundBytesPerSecond   = 3_000.0
	boundWritesPerSecond  = 500.0   // of the table
	boundReadsPerSecond   = 2_000.0 // of the table
	boundEntryCorePercent = 100.0   // of a core, at 33,000 tokens a second
	boundAgentCorePercent = 10.0    // of a core, at 3,600 tokens a second
	boundResumeSeconds    = 2.0
	boundInstallSeconds   = 6.0
	megabyte              = 1e6
	microsPerSecond       = 1e6
	// packetOverheadBytes is the size of the Ethernet, IP and TCP headers of a
	// segment, with TCP time stamps.
	packetOverheadBytes = 66
)

// heldTokens returns the mean number of tokens that an open answer holds. The time
// for which an answer is open is proportional to its length, so long answers weigh
// more. An open answer is half done on average.
func heldTokens() float64 {
	mean := designTokensPerSecond / designRequestsPerSecond
	short := (mean - longAnswerShare*longAnswerTokens) / (1 - longAnswerShare)
	squares := (1-longAnswerShare)*short*short + longAnswerShare*longAnswerTokens*longAnswerTokens
	return squares / mean / 2
}

// percent converts microseconds a second to percent of a core.
func percent(micros float64) float64 { return 100 * micros / microsPerSecond }

// listReadsPerSecond is the rate at which each process reads the host list.
var listReadsPerSecond = float64(time.Second) / float64(configuration.HostListInterval(designHosts))
