package capacity

import "github.com/wigeonfork/wigeonfork/experiment/report"

// Defaults of admission.Options in percent of the capacity: the share reserved for
// resumes, and the share above the capacity up to which resumes start.
const (
	reserveShare    = 5.0
	overcommitShare = 15.0
)

// heapHeadroom is the heap size at which the garbage collector runs, as a multiple of
// the live heap, at the default GOGC.
const heapHeadroom = 2

// tableLoad is the table accesses a second of all processes, without claims.
type tableLoad struct{ reads, writes float64 }

func estimateTableLoad(c *costs, s propagation) tableLoad {
	return tableLoad{
		reads:  c.atDesign(costLeaseReads) + changesPerSec*c.atDesign(costChangeReads) + s.reads,
		writes: c.atDesign(costLeaseWrites) + changesPerSec*c.atDesign(costChangeWrites),
	}
}

// domainLoss is the effect of the loss of one failure domain and its open answers.
type domainLoss struct {
	resumesPerEntry float64
	entrySeconds    float64 // of a core, for the decisions and calls
	entryBytes      float64 // of calls
	loadAdded       float64 // percent on each remaining agent
}

func estimateDomainLoss(c *costs) domainLoss {
	resumes := openStreams / designDomains / designEntries
	micros := c.atDesign(costChoose) + c.atDesign(costOffer) + c.atDesign(costCheck) + c.atDesign(costResumeEncode)
	return domainLoss{
		resumesPerEntry: resumes,
		entrySeconds:    resumes * micros / microsPerSecond,
		entryBytes:      resumes * c.atDesign(costResumeBytes),
		loadAdded:       100.0 / (designDomains - 1),
	}
}

// addTargets adds the figures and the users' bounds to the report.
func addTargets(r *report.Report, c *costs, s propagation, list []component) {
	for _, who := range []role{roleEntry, roleAgent, roleHolder} {
		total := sum(list, who, false)
		r.AtMost(string(who)+": control, processor", percent(total.micros), boundProcessorPercent, "% of a core")
		r.AtMost(string(who)+": control, heap with the collector's headroom", heapHeadroom*total.memory/megabyte, boundMemoryMB, "MB")
		r.AtMost(string(who)+": control, bytes", total.bytes, boundBytesPerSecond, "bytes/s")
	}
	r.AtMost("entry: relay of tokens, frames and decisions only", percent(sum(list, roleEntry, true).micros), boundEntryCorePercent, "% of a core")
	r.AtMost("agent: tokens taken and framed, without HTTP", percent(sum(list, roleAgent, true).micros), boundAgentCorePercent, "% of a core")
	load := estimateTableLoad(c, s)
	r.AtMost("table: writes without claims", load.writes, boundWritesPerSecond, "/s")
	r.AtMost("table: reads", load.reads, boundReadsPerSecond, "/s")
	r.AtMost("host list: reads", designHosts*listReadsPerSecond, boundReadsPerSecond, "/s")
	r.AtMost("configuration in force, p99 of the largest size run", s.installTime, boundInstallSeconds, "s")
	lost := estimateDomainLoss(c)
	r.AtMost("loss of a domain: an entry's decisions on the resumes", lost.entrySeconds, boundResumeSeconds, "s of a core")
	r.AtMost("loss of a domain: load added, within the reserve", lost.loadAdded, reserveShare, "%")
	r.AtMost("loss of a domain: load added, within what resumes may fill", lost.loadAdded, overcommitShare+reserveShare, "%")
}
