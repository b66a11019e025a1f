// Package standin runs the stand-ins of the cases in review/: the platform's store, the origin of weights,
// servers and clients. review/build.sh builds it as a test binary. It starts no process; the script that runs
// it does.
package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// timeLimit bounds a case; a script may take 120 s.
const timeLimit = 100 * time.Second

// caseRun is one run of a case.
type caseRun struct {
	folder  string
	trouble bool
	// crashOnly leaves the freeze out of the case halvedAnswers.
	crashOnly bool
	started   time.Time

	mutex  sync.Mutex
	record *os.File
}

// note writes a line to the record.
func (c *caseRun) note(format string, values ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, _ = fmt.Fprintf(c.record, "%8.3f s  %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, values...))
}

// stop ends a case that could not run.
type stop struct{ reason string }

func giveUp(format string, values ...any) { panic(stop{reason: fmt.Sprintf(format, values...)}) }

// must ends the case when a step of its own failed.
func must(err error) {
	if err != nil {
		giveUp("%v", err)
	}
}

// cases maps the name of each case to its function, which reports whether the rule was broken.
var cases = map[string]func(c *caseRun) (broken bool){
	"verified-then-frozen": verifiedThenFrozen,
	"halved-answers":       halvedAnswers,
	"endless-head":         endlessHead,
}

// TestMain runs a case instead of tests: standin CASE FOLDER RECORD TROUBLE.
func TestMain(*testing.M) {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER RECORD TROUBLE")
		os.Exit(notRun)
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	run := &caseRun{folder: os.Args[2], trouble: os.Args[4] != "0", crashOnly: os.Args[4] == "crash", started: time.Now(), record: record}
	time.AfterFunc(timeLimit, func() {
		run.note("the case could not run: it took %s", timeLimit)
		os.Exit(notRun)
	})
	run.note("case %s, with the disruption: %v", os.Args[1], run.trouble)
	code := run.execute(cases[os.Args[1]])
	run.note("exit code %d", code)
	_ = record.Close()
	os.Exit(code)
}

func (c *caseRun) execute(run func(c *caseRun) bool) (code int) {
	defer func() {
		if reason := recover(); reason != nil {
			stopped, expected := reason.(stop)
			if !expected {
				panic(reason)
			}
			c.note("the case could not run: %s", stopped.reason)
			code = notRun
		}
	}()
	if run(c) {
		c.note("the rule was broken")
		return ruleBroken
	}
	c.note("the rule held")
	return ruleHeld
}

// Networks of the loopback addresses.
const (
	firstNetwork = 61
	networkCount = 79
)

// smallSite returns the options of a site with the bounds of the users' small deployments.
func smallSite(zones, entries, modelServers int) site.Options {
	return site.Options{
		Network: site.FreeNetwork(firstNetwork, networkCount, os.Getpid()), Zones: zones, Entries: entries, ModelServers: modelServers, PlainServers: 1,
		Weights:   site.Weights{Model: "dialect", Pieces: 96, PieceBytes: 24576, Layers: 16},
		EventTime: 10 * time.Millisecond, Slots: 16,
		VersionMs: 8000, ConfigApplyMs: 2000, DrainMs: 2000, GraceS: 8, BudgetSlack: 102, TimeoutMs: 6000,
	}
}

// machine is one process of the system.
type machine struct {
	role        string
	zone, index int
}

func (m machine) name() string { return fmt.Sprintf("%s-%d-%d", m.role, m.zone, m.index) }

// machinesOf lists the processes of a site's options.
func machinesOf(options site.Options) []machine {
	var all []machine
	for zone := range options.Zones {
		for index := range options.Entries {
			all = append(all, machine{role: site.RoleEntry, zone: zone, index: index})
		}
		for index := range options.ModelServers {
			all = append(all, machine{role: site.RoleAgent, zone: zone, index: index})
		}
	}
	return all
}

// Limits of the users' machines.
const (
	entryMemoryMb, entryLinkMbps = 284, 1000.0
	agentMemoryMb, agentLinkMbps = 152, 7.3
	contactMs                    = 3000
)

// settingsOf returns the settings of a process, with the limits of the users' small sites.
func settingsOf(running *site.Site, one machine) []byte {
	return running.ChangedSettings(one.role, one.zone, one.index, func(settings map[string]any) {
		settings["limits"] = map[string]any{"memoryMb": entryMemoryMb, "linkMbps": entryLinkMbps}
		if one.role == site.RoleAgent {
			settings["limits"] = map[string]any{"memoryMb": agentMemoryMb, "linkMbps": agentLinkMbps}
		}
		settings["bounds"].(map[string]any)["contactMs"] = contactMs
	})
}

// startProcesses writes the settings of every process, lets the script start them, and returns their process
// IDs by name.
func (c *caseRun) startProcesses(running *site.Site, all []machine) map[string]int {
	for _, one := range all {
		must(running.OpenStore(one.role, one.zone, one.index))
		must(os.WriteFile(filepath.Join(c.folder, one.name()+".json"), settingsOf(running, one), 0o600))
	}
	must(os.WriteFile(filepath.Join(c.folder, "settings-written"), nil, 0o600))
	pids := map[string]int{}
	for _, one := range all {
		path := filepath.Join(c.folder, one.name()+".pid")
		if !eventually(10*time.Second, func() bool { _, err := os.Stat(path); return err == nil }) {
			giveUp("%s was not started", one.name())
		}
		text, err := os.ReadFile(path)
		must(err)
		pids[one.name()], err = strconv.Atoi(strings.TrimSpace(string(text)))
		must(err)
	}
	return pids
}

// signal sends a signal to a process that the script has started.
func (c *caseRun) signal(pid int, signal syscall.Signal) { must(syscall.Kill(pid, signal)) }

// eventually polls a condition until it holds, and reports whether it did within the limit.
func eventually(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
