package capacity

import (
	"time"

	"github.com/wigeonfork/wigeonfork/configuration"
)

// The size to design for.
const (
	designEntries       = 1_100
	designAgents        = 10_000
	designHosts         = designEntries + designAgents
	designRequests      = 180_000.0    // a second
	designTokens        = 36_000_000.0 // a second
	designWorkspaces    = 3_300
	designModels        = 10
	designDomains       = 16
	designChangesPerDay = 31_000.0
	designRestartsDay   = 1_300.0
	secondsPerDay       = 86_400.0

	entryRequests = designRequests / designEntries // a second
	entryTokens   = designTokens / designEntries   // a second
	agentTokens   = designTokens / designAgents    // a second

	// tokenSeconds is the time between two tokens of an answer.
	tokenSeconds = 0.048
	openStreams  = designTokens * tokenSeconds

	// Minutes of output in the long answers, which are a twentieth of all.
	longShare  = 0.05
	longTokens = 2 * 60 / tokenSeconds
)

// The users' bounds.
const (
	boundProcessor  = 1.1     // % of a core
	boundMemory     = 128.0   // MB
	boundBytes      = 3_000.0 // a second
	boundWrites     = 500.0   // of the table, a second
	boundReads      = 2_000.0 // of the table, a second
	boundEntryCore  = 100.0   // % of a core for 33,000 tokens a second
	boundAgentCore  = 10.0    // % of a core for 3,600 tokens a second
	boundResume     = 2.0     // seconds
	boundInForce    = 6.0     // seconds
	megabyte        = 1e6
	microsPerSecond = 1e6
	// packetBytes is what Ethernet, IP and TCP headers with time stamps add to
	// a segment.
	packetBytes = 66
)

// heldTokens is the mean number of tokens that an open answer holds. Answers
// are open for a time that grows with their length, and half done on average.
func heldTokens() float64 {
	mean := designTokens / designRequests
	short := (mean - longShare*longTokens) / (1 - longShare)
	squares := (1-longShare)*short*short + longShare*longTokens*longTokens
	return squares / mean / 2
}

// percent turns microseconds a second into % of a core.
func percent(micros float64) float64 { return 100 * micros / microsPerSecond }

// listReads is the rate at which each process reads the list of hosts.
var listReads = float64(time.Second) / float64(configuration.HostListInterval(designHosts))
