package launch

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"pinevane.example/pinevane/internal/fault"
)

// process is a started process; exited is closed when it has exited.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
}

// Group is a set of named processes that run the pinevane binary.
type Group struct {
	executable   string
	logDirectory string

	mutex     sync.Mutex
	processes map[string]*process
}

// NewGroup returns an empty group. With a log directory each process writes its
// log to a file there; otherwise logs are discarded.
func NewGroup(executable, logDirectory string) *Group {
	return &Group{executable: executable, logDirectory: logDirectory, processes: map[string]*process{}}
}

// Run starts a process under a name. The kernel kills it when this process exits.
func (g *Group) Run(name string, arguments []string) error {
	command := exec.Command(g.executable, arguments...)
	command.Stdout, command.Stderr = io.Discard, io.Discard
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if g.logDirectory != "" {
		file, err := os.OpenFile(filepath.Join(g.logDirectory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return &fault.Unavailable{Target: name, Operation: "open log", Cause: err}
		}
		defer func() { _ = file.Close() }()
		command.Stdout, command.Stderr = file, file
	}
	if err := command.Start(); err != nil {
		return &fault.Unavailable{Target: name, Operation: "start", Cause: err}
	}
	started := &process{command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(started.exited)
	}()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.processes[name] = started
	return nil
}

func (g *Group) find(name string) *process {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.processes[name]
}

// Signal sends a signal to a process.
func (g *Group) Signal(name string, signal os.Signal) error {
	target := g.find(name)
	if target == nil {
		return &fault.Unavailable{Target: name, Operation: "signal"}
	}
	if err := target.command.Process.Signal(signal); err != nil {
		return &fault.Unavailable{Target: name, Operation: "signal", Cause: err}
	}
	return nil
}

// WaitExit waits until a process has exited and reports whether it did so within the limit.
func (g *Group) WaitExit(name string, limit time.Duration) bool {
	target := g.find(name)
	if target == nil {
		return true
	}
	select {
	case <-target.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// Count returns the number of names under which a process was started.
func (g *Group) Count() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.processes)
}

// Stop kills every running process of the group and waits for their exit.
func (g *Group) Stop() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, running := range g.processes {
		_ = running.command.Process.Kill()
	}
	for _, running := range g.processes {
		<-running.exited
	}
}
