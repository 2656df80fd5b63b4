// Package settings defines the settings of the daemons. Each is a flag and an
// environment variable of the same name: --drain-limit is WIGEON_DRAIN_LIMIT.
package settings

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Process holds the settings that all daemons share.
type Process struct {
	Host           string        `long:"host" env:"WIGEON_HOST" description:"name of this host" required:"true"`
	Domain         string        `long:"failure-domain" env:"WIGEON_FAILURE_DOMAIN" description:"failure domain of this host" required:"true"`
	Region         string        `long:"region" env:"WIGEON_REGION" description:"region of this host" default:"local"`
	Listen         string        `long:"listen" env:"WIGEON_LISTEN" description:"IP address and port to serve on" default:"127.0.0.1:0"`
	ControlListen  string        `long:"control-listen" env:"WIGEON_CONTROL_LISTEN" description:"IP address and port for peers and operators" default:"127.0.0.1:0"`
	MetricsListen  string        `long:"metrics-listen" env:"WIGEON_METRICS_LISTEN" description:"IP address and port for metrics" default:"127.0.0.1:0"`
	PeerKey        string        `long:"peer-key" env:"WIGEON_PEER_KEY" description:"secret shared by all processes of the system, 16 bytes or more" required:"true"`
	OperatorKey    string        `long:"operator-key" env:"WIGEON_OPERATOR_KEY" description:"secret of the operators, 16 bytes or more" required:"true"`
	TableAddress   string        `long:"table-address" env:"WIGEON_TABLE_ADDRESS" description:"IP address and port of the table service" required:"true"`
	ObjectsAddress string        `long:"objects-address" env:"WIGEON_OBJECTS_ADDRESS" description:"IP address and port of the object store" required:"true"`
	WeightsAddress string        `long:"weights-address" env:"WIGEON_WEIGHTS_ADDRESS" description:"IP address and port of the weight store"`
	HostsAddress   string        `long:"hosts-address" env:"WIGEON_HOSTS_ADDRESS" description:"IP address and port of the list of hosts" required:"true"`
	DrainLimit     time.Duration `long:"drain-limit" env:"WIGEON_DRAIN_LIMIT" description:"maximum time to wait for answers in progress when draining" default:"10m"`
	MemoryLimitMB  int64         `long:"memory-limit-mb" env:"WIGEON_MEMORY_LIMIT_MB" description:"memory that the process may use, in MiB; connections, heads and bodies of its peers get shares of it" default:"1024"`
	MaxDescriptors int           `long:"max-descriptors" env:"WIGEON_MAX_DESCRIPTORS" description:"file descriptors that the process may open; 0 is the limit of the operating system" default:"0"`
	LogLevel       string        `long:"log-level" env:"WIGEON_LOG_LEVEL" value-name:"LEVEL" description:"minimum level of events to log: debug, info, warn or error" default:"info"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Process
	ClassPolicy string        `long:"class-policy" env:"WIGEON_CLASS_POLICY" description:"priorities of the request classes: casework serves lookups promptly and lets drafts wait, register puts narratives first" choice:"equal" choice:"casework" choice:"register" default:"equal"`
	MoveSettle  time.Duration `long:"move-settle" env:"WIGEON_MOVE_SETTLE" description:"time needed to evaluate a version after its last load; a move whose deadline leaves less is refused" default:"1m"`
	HandleKey   string        `long:"handle-key" env:"WIGEON_HANDLE_KEY" description:"secret that seals resume handles, shared by all entries, 16 bytes or more" required:"true"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Process
	ResumeHold     time.Duration `long:"resume-hold" env:"WIGEON_RESUME_HOLD" description:"time for which a draining agent keeps a completely sent answer, for callers whose connection failed" default:"5s"`
	BackendServer  string        `long:"backend-server" env:"WIGEON_BACKEND_SERVER" description:"name of the backend server beside this agent" required:"true"`
	BackendAddress string        `long:"backend-address" env:"WIGEON_BACKEND_ADDRESS" description:"IP address and port of the backend server" required:"true"`
	BackendKind    string        `long:"backend-kind" env:"WIGEON_BACKEND_KIND" value-name:"KIND" description:"kind of the backend server: engine or service" default:"engine"`
	Without        []string      `long:"without" env:"WIGEON_WITHOUT" env-delim:"," value-name:"CAPABILITY" description:"capability that the engine lacks: resume, continue, cancel, priority, cache-events or fencing"`
}

// minKeyBytes is the minimum length of a secret.
const minKeyBytes = 16

// maxMoveSettle limits the settle time of moves.
const maxMoveSettle = 24 * time.Hour

// maxResumeHold limits the resume hold, since an agent keeps no answer for longer.
const maxResumeHold = 30 * time.Second

// The least limits with which a daemon can serve.
const (
	minMemoryLimitMB = 32
	minDescriptors   = 256
)

// maxDrainLimit limits the drain limit.
const maxDrainLimit = 24 * time.Hour

// Parse reads args and the environment into s, a pointer to an Entry or an Agent, and
// validates it. An error names the invalid setting. For --help the error is the help
// text; see IsHelp.
func Parse(s interface{ Validate() error }, args []string) error {
	parser := flags.NewParser(s, flags.HelpFlag|flags.PassDoubleDash)
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return errors.Newf("unexpected argument %q", rest[0])
	}
	return s.Validate()
}

// IsHelp reports whether err is the help text that the user asked for.
func IsHelp(err error) bool {
	var flagsError *flags.Error
	return errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp
}

// Validate checks the settings that all daemons share.
func (p *Process) Validate() error {
	addresses := []struct{ name, value string }{
		{"listen", p.Listen},
		{"control-listen", p.ControlListen},
		{"metrics-listen", p.MetricsListen},
		{"table-address", p.TableAddress},
		{"objects-address", p.ObjectsAddress},
		{"weights-address", p.WeightsAddress},
		{"hosts-address", p.HostsAddress},
	}
	for _, address := range addresses {
		if err := checkAddress(address.name, address.value); err != nil {
			return err
		}
	}
	if err := checkKey("peer-key", p.PeerKey); err != nil {
		return err
	}
	if err := checkKey("operator-key", p.OperatorKey); err != nil {
		return err
	}
	if p.PeerKey == p.OperatorKey {
		return errors.New("operator-key must differ from peer-key")
	}
	if p.DrainLimit < 0 || p.DrainLimit > maxDrainLimit {
		return errors.Newf("drain-limit must be from 0 to %s", maxDrainLimit)
	}
	if p.MemoryLimitMB < minMemoryLimitMB {
		return errors.Newf("memory-limit-mb must be at least %d", minMemoryLimitMB)
	}
	if p.MaxDescriptors != 0 && p.MaxDescriptors < minDescriptors {
		return errors.Newf("max-descriptors must be 0 or at least %d", minDescriptors)
	}
	return checkChoice("log-level", p.LogLevel, "debug", "info", "warn", "error")
}

// Validate checks the settings of an entry.
func (e *Entry) Validate() error {
	if err := e.Process.Validate(); err != nil {
		return err
	}
	if e.MoveSettle < 0 || e.MoveSettle > maxMoveSettle {
		return errors.Newf("move-settle must be from 0 to %s", maxMoveSettle)
	}
	return checkKey("handle-key", e.HandleKey)
}

// Validate checks the settings of an agent.
func (a *Agent) Validate() error {
	if err := a.Process.Validate(); err != nil {
		return err
	}
	if err := checkChoice("backend-kind", a.BackendKind, "engine", "service"); err != nil {
		return err
	}
	for _, capability := range a.Without {
		if err := checkChoice("without", capability, "resume", "continue", "cancel", "priority", "cache-events", "fencing"); err != nil {
			return err
		}
	}
	if a.ResumeHold < 0 || a.ResumeHold > maxResumeHold {
		return errors.Newf("resume-hold must be from 0 to %s", maxResumeHold)
	}
	return checkAddress("backend-address", a.BackendAddress)
}

// Lacks reports whether the engine lacks a capability.
func (a *Agent) Lacks(capability string) bool {
	for _, name := range a.Without {
		if name == capability {
			return true
		}
	}
	return false
}

// checkAddress accepts an empty address: required ones are checked by the
// parser.
func checkAddress(name, value string) error {
	if value == "" {
		return nil
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return errors.Newf("%s: %q is not an IP address and port", name, value)
	}
	if net.ParseIP(host) == nil {
		return errors.Newf("%s: %q is not an IP address", name, host)
	}
	return nil
}

// checkChoice replaces the parser's choice tags, which make the help text too wide
// to read.
func checkChoice(name, value string, choices ...string) error {
	if slices.Contains(choices, value) {
		return nil
	}
	return errors.Newf("%s: %q is none of %s", name, value, strings.Join(choices, ", "))
}

func checkKey(name, value string) error {
	if len(value) < minKeyBytes {
		return errors.Newf("%s must have at least %d bytes", name, minKeyBytes)
	}
	return nil
}

// Shared returns the settings that all daemons share.
func (p *Process) Shared() *Process { return p }
