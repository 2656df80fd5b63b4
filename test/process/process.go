// Package process builds the daemons and runs them as real processes, for the fault matrix and the
// experiments. The daemons themselves start no processes.
package process

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// startTimeout bounds the time until a process prints its addresses.
const startTimeout = 10 * time.Second

// modulePath is the import path under which the daemons are built.
const modulePath = "github.com/wigeonfork/wigeonfork"

// Binaries are the built programs in their temporary folder.
type Binaries struct {
	folder string
}

// Build builds the daemons and wigeonctl into a temporary folder. The arguments are passed to
// go build.
func Build(arguments ...string) (*Binaries, error) {
	folder, err := os.MkdirTemp("", "wigeonfork-bin-")
	if err != nil {
		return nil, errors.Wrap(err, "make folder")
	}
	command := append([]string{"build", "-o", folder + string(filepath.Separator)}, arguments...)
	command = append(command, modulePath+"/cmd/wigeonfork-entry", modulePath+"/cmd/wigeonfork-agent", modulePath+"/cmd/wigeonctl")
	if output, err := exec.Command("go", command...).CombinedOutput(); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "build daemons: %s", output), os.RemoveAll(folder))
	}
	return &Binaries{folder: folder}, nil
}

// Remove deletes the folder with the binaries.
func (b *Binaries) Remove() error { return os.RemoveAll(b.folder) }

// Path returns the path of the binary of a program.
func (b *Binaries) Path(program string) string { return filepath.Join(b.folder, program) }

// Process is a started daemon. Its addresses are empty if the daemon does not print them.
type Process struct {
	ServeAddress   string
	ControlAddress string
	MetricsAddress string

	command *exec.Cmd
	ended   chan struct{}
	mu      sync.Mutex
	log     bytes.Buffer
	waitErr error
}

// Start starts a program with additional environment variables and waits until it prints its
// addresses on its standard output.
func (b *Binaries) Start(program string, environment ...string) (*Process, error) {
	command := exec.Command(b.Path(program))
	command.Env = append(os.Environ(), environment...)
	// The kernel kills the daemon if the test process ends without cleanup, as at a time limit.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &Process{command: command, ended: make(chan struct{})}
	command.Stderr = logWriter{p}
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "open pipe")
	}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", program)
	}
	announced := make(chan string, 1)
	go p.watch(out, announced)
	select {
	case line := <-announced:
		p.readAddresses(line)
		return p, nil
	case <-p.ended:
		return nil, errors.Newf("%s ended at start: %s", program, p.Log())
	case <-time.After(startTimeout):
		p.Kill()
		return nil, errors.Newf("%s printed no addresses in time: %s", program, p.Log())
	}
}

// logWriter collects the standard error of a process.
type logWriter struct{ p *Process }

// Write implements io.Writer.
func (w logWriter) Write(data []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	return w.p.log.Write(data)
}

func (p *Process) watch(out io.Reader, announced chan<- string) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		select {
		case announced <- lines.Text():
		default:
		}
	}
	err := p.command.Wait()
	p.mu.Lock()
	p.waitErr = err
	p.mu.Unlock()
	close(p.ended)
}

func (p *Process) readAddresses(line string) {
	for _, pair := range strings.Fields(line) {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "serve":
			p.ServeAddress = value
		case "control":
			p.ControlAddress = value
		case "metrics":
			p.MetricsAddress = value
		}
	}
}

// Log returns what the process has logged so far.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Kill kills the process and waits until it has ended. A paused process is continued first.
func (p *Process) Kill() {
	// Signalling a process that has already ended fails, and nothing is left to do.
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	<-p.ended
}

// Pause suspends the process until Continue.
func (p *Process) Pause() error { return p.command.Process.Signal(syscall.SIGSTOP) }

// Continue resumes a paused process.
func (p *Process) Continue() error { return p.command.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to drain and exit.
func (p *Process) Terminate() error { return p.command.Process.Signal(syscall.SIGTERM) }

// Ended is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Err returns the error with which the process ended. It is valid once Ended is closed.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waitErr
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }
