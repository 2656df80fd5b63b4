package capacity

import (
	"time"

	"github.com/wigeonfork/wigeonfork/configuration"
)

// The size to design for.
const (
	designEntries           = 1_100
	designAgents            = 10_000
	designHosts             = designEntries + designAgents
	designRequestsPerSecond = 180_000.0    // a second
	designTokensPerSecond   = 36_000_000.0 // a second
	designWorkspaces        = 3_300
	designModels            = 10
	designDomains           = 16
	designChangesPerDay     = 31_000.0
	designRestartsPerDay    = 1_300.0
	secondsPerDay           = 86_400.0

	entryRequestsPerSecond = designRequestsPerSecond / designEntries // a second
	entryTokensPerSecond   = designTokensPerSecond / designEntries   // a second
	agentTokensPerSecond   = designTokensPerSecond / designAgents    // a second

	// secondsPerToken is the time between two tokens of an answer.
	secondsPerToken = 0.048
	openStreams     = designTokensPerSecond * secondsPerToken

	// Minutes of output in the long answers, which are a twentieth of all.
	longAnswerShare  = 0.05
	longAnswerTokens = 2 * 60 / secondsPerToken
)

// The users' bounds.
const (
	boundProcessorPercent = 1.1     // % of a core
	boundMemoryMB         = 128.0   // MB
	boundBytesPerSecond   = 3_000.0 // a second
	boundWritesPerSecond  = 500.0   // of the table, a second
	boundReadsPerSecond   = 2_000.0 // of the table, a second
	boundEntryCorePercent = 100.0   // % of a core for 33,000 tokens a second
	boundAgentCorePercent = 10.0    // % of a core for 3,600 tokens a second
	boundResumeSeconds    = 2.0     // seconds
	boundInForceSeconds   = 6.0     // seconds
	megabyte              = 1e6
	microsPerSecond       = 1e6
	// packetOverheadBytes is what Ethernet, IP and TCP headers with time stamps add to
	// a segment.
	packetOverheadBytes = 66
)

// heldTokens is the mean number of tokens that an open answer holds. Answers
// are open for a time that grows with their length, and half done on average.
func heldTokens() float64 {
	mean := designTokensPerSecond / designRequestsPerSecond
	short := (mean - longAnswerShare*longAnswerTokens) / (1 - longAnswerShare)
	squares := (1-longAnswerShare)*short*short + longAnswerShare*longAnswerTokens*longAnswerTokens
	return squares / mean / 2
}

// percent turns microseconds a second into % of a core.
func percent(micros float64) float64 { return 100 * micros / microsPerSecond }

// listReadsPerSecond is the rate at which each process reads the list of hosts.
var listReadsPerSecond = float64(time.Second) / float64(configuration.HostListInterval(designHosts))
