package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// component is the cost of one mechanism in a process of a role.
type component struct {
	role role
	name string
	// serving is set if the cost grows with the open answers. Other components
	// belong to the control traffic.
	serving bool
	bytes   float64 // a second, sent and received
	micros  float64 // of processor time a second
	memory  float64 // bytes
}

const (
	// segmentsPerCall counts a request, a response and an acknowledgement.
	segmentsPerCall = 3
	// segmentsPerConnection counts the opening, the handshake and the closing.
	segmentsPerConnection = 10
	// peerConnections is the number of connections that a process keeps open to
	// distribute the configuration. Its messages go to random hosts, and the
	// fraction newPeerShare of them needs a new connection.
	peerConnections = 64
	newPeerShare    = 1 - peerConnections/float64(designHosts)
	// entryConnections is the number of connections that an entry keeps open to
	// other entries. It calls all of them in turn, and the fraction newEntryShare
	// of the calls needs a new connection.
	entryConnections = 32
	newEntryShare    = 1 - entryConnections/float64(designEntries)
	// engineDeathsPerDay is the number of engine deaths a day in the whole system in
	// which the agent beside the engine keeps running. It is assumed to equal the
	// number of host failures.
	engineDeathsPerDay = 91

	streamsPerEntry = openStreams / designEntries
	streamsPerAgent = openStreams / designAgents
	changesPerSec   = designChangesPerDay / secondsPerDay
	deathsPerSec    = engineDeathsPerDay / secondsPerDay
)

// callBytes returns the network bytes of a call with the given payload.
func callBytes(payload float64) float64 { return payload + segmentsPerCall*packetOverheadBytes }

// connectBytes returns the network bytes of a new connection.
func connectBytes(c *costs) float64 {
	return c.line(costConnectBytes).slope + segmentsPerConnection*packetOverheadBytes
}

// allComponents returns the cost components of all roles at the design size.
func allComponents(c *costs, s propagation) []component {
	var list []component
	list = append(list, entryComponents(c)...)
	list = append(list, agentComponents(c)...)
	for _, r := range []role{roleEntry, roleAgent} {
		list = append(list, commonComponents(c, s, r)...)
	}
	return append(list, holderComponents(c)...)
}

func entryComponents(c *costs) []component {
	polls := c.atDesign(costPolls)
	calls := c.line(costDeathReportCalls).at(designEntries) * deathsPerSec
	decisions := c.atDesign(costResolve) + c.atDesign(costChoose) + c.atDesign(costOffer) + c.atDesign(costCheck)
	return []component{
		{role: roleEntry, name: "membership: ticks and polls", bytes: polls * callBytes(c.atDesign(costPollBytes)),
			micros: c.atDesign(costFleetRun) + polls*c.atDesign(costPollMicros), memory: c.atDesign(costFleetMemory)},
		{role: roleEntry, name: "engine deaths told to other entries", bytes: 2 * calls * (callBytes(c.atDesign(costDeathReportBytes)) + newEntryShare*connectBytes(c)),
			micros: calls*(c.line(costPollMicros).at(0)+newEntryShare*c.line(costConnectMicros).slope) + deathsPerSec*c.atDesign(costEngineDeath), memory: c.atDesign(costQuarantine)},
		{role: roleEntry, name: "evidence, all models moving", bytes: c.atDesign(costEvidence) + designModels*callBytes(0)},
		{role: roleEntry, name: "decisions on requests", micros: entryRequestsPerSecond * decisions, memory: c.atDesign(costAdmission)},
		{role: roleEntry, name: "load told on frames of open answers", bytes: streamsPerEntry * loadReportsPerSecond * loadBytes()},
		{role: roleEntry, name: "relay of tokens, frames and decisions only", serving: true, micros: entryTokensPerSecond * c.atDesign(costRelayToken),
			bytes: entryTokensPerSecond * c.atDesign(costFrameBytes), memory: streamsPerEntry * c.atDesign(costRelayMemory)},
	}
}

func agentComponents(c *costs) []component {
	polls := c.atDesign(costPolls) * designEntries / designAgents
	return []component{
		{role: roleAgent, name: "polls answered", bytes: polls * callBytes(c.atDesign(costPollBytes)), micros: polls * c.atDesign(costPollMicros)},
		{role: roleAgent, name: "load told on frames of open answers", bytes: streamsPerAgent * loadReportsPerSecond * loadBytes()},
		{role: roleAgent, name: "claims remembered", memory: claimsHeld * c.atDesign(costLedgerMemory)},
		{role: roleAgent, name: "tokens taken and framed, without HTTP", serving: true, micros: agentTokensPerSecond * c.atDesign(costAppendToken),
			bytes: agentTokensPerSecond * c.atDesign(costFrameBytes), memory: streamsPerAgent * c.atDesign(costSession)},
	}
}

// commonComponents returns the costs of the configuration and the host list, which
// every process has.
func commonComponents(c *costs, s propagation, r role) []component {
	message := c.line(costRevisionBytes).at(s.payload) + segmentsPerNotification*packetOverheadBytes
	message += newPeerShare * connectBytes(c)
	micros := c.line(costRevisionTime).at(s.payload) + newPeerShare*c.line(costConnectMicros).slope
	list := component{role: r, name: "host list", bytes: listReadsPerSecond * c.atDesign(costListBytes), micros: listReadsPerSecond * c.atDesign(costListDecode), memory: c.atDesign(costHostsMemory)}
	install := component{role: r, name: "changes installed", micros: changesPerSec * c.atDesign(costInstallShared), memory: c.atDesign(costSnapshot)}
	if r == roleEntry {
		list.micros += listReadsPerSecond * c.atDesign(costFleetHosts)
		install.micros += changesPerSec * c.atDesign(costFleetInstall)
	}
	return []component{
		{role: r, name: "spread of the configuration", bytes: 2 * s.messages * message,
			micros: s.processor + s.messages*micros, memory: c.atDesign(costNodeMemory)},
		install,
		list,
	}
}

func holderComponents(c *costs) []component {
	evidence := c.line(costEvidence).at(moveRequestsPerSecond)
	return []component{
		{role: roleHolder, name: "evidence of all entries about one move", bytes: designEntries * callBytes(evidence),
			micros: c.atDesign(costMerge) + designEntries*c.line(costPollMicros).at(0), memory: c.atDesign(costMoveMemory)},
		{role: roleHolder, name: "looks at the move", micros: stepsPerSecond * c.atDesign(costStep)},
	}
}

// sum returns the total of the serving or of the control components of a role.
func sum(list []component, r role, serving bool) component {
	total := component{role: r, name: "control together", serving: serving}
	if serving {
		total.name = "serving together"
	}
	for _, p := range list {
		if p.role != r || p.serving != serving {
			continue
		}
		total.bytes += p.bytes
		total.micros += p.micros
		total.memory += p.memory
	}
	return total
}

// writeComponents prints the components of each role.
func writeComponents(out io.Writer, list []component) error {
	fmt.Fprintf(out, "\nworked out for %d entries, %d agents, %.0f requests/s, %.0f tokens/s, %d workspaces, %d models: one process\n",
		designEntries, designAgents, designRequestsPerSecond, designTokensPerSecond, designWorkspaces, designModels)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "role\tpart\tkind\tbytes/s\tprocessor, % of a core\tstate, MB")
	for _, r := range []role{roleEntry, roleAgent, roleHolder} {
		for _, p := range list {
			if p.role == r {
				writeComponent(table, p)
			}
		}
		writeComponent(table, sum(list, r, false))
	}
	return table.Flush()
}

func writeComponent(out io.Writer, p component) {
	kind := "control"
	if p.serving {
		kind = "serving"
	}
	fmt.Fprintf(out, "%s\t%s\t%s\t%.0f\t%.3f\t%.2f\n", p.role, p.name, kind, p.bytes, percent(p.micros), p.memory/megabyte)
}
