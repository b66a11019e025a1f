// Package sitetest runs real entries and agents, inside a test, against an emulation of the users'
// platform. A word in capitals at the head of a test's comment, such as EVAC, names the rule of the
// platform that the test checks.
package sitetest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/daemon"
	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/forward"
	"pinevane.example/pinevane/internal/gateway"
	"pinevane.example/pinevane/internal/launch"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/rollout"
	"pinevane.example/pinevane/platform"
)

// Fleet holds the processes and the emulated site of a test.
type Fleet struct {
	t    *testing.T
	Site *site.Site
	// Log collects the log lines of all processes.
	Log *LogBuffer

	mutex        sync.Mutex
	processes    map[string]*process
	openedStores map[string]bool
	// agents counts the agents that have not ended.
	agents sync.WaitGroup
	// settingsOverrides holds the settings files, by process name, that differ from those that the
	// site generates.
	settingsOverrides map[string][]byte
}

type process struct {
	daemon *daemon.Daemon
	stop   chan struct{}
	done   chan struct{}
}

// LogBuffer collects log lines for tests to read.
type LogBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

// Write implements io.Writer.
func (l *LogBuffer) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(line)
}

// String returns all collected lines.
func (l *LogBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

var (
	networkMutex sync.Mutex
	// nextNetwork is where the search for a free network begins. It starts at the process ID, so that
	// concurrent runs of these tests begin at different networks.
	nextNetwork = os.Getpid()
)

// The networks that these tests use in turn. Demos and soak runs use those from 140 on.
const (
	firstNetwork = 61
	networkCount = 79
)

// DefaultOptions returns a fleet of two zones with bounds that suit a test.
func DefaultOptions() site.Options {
	networkMutex.Lock()
	defer networkMutex.Unlock()
	nextNetwork++
	return site.Options{
		Network: site.FreeNetwork(firstNetwork, networkCount, nextNetwork), Zones: 2, Entries: 2, ModelServers: 2, PlainServers: 1,
		Weights:   site.Weights{Model: "m", Pieces: 24, PieceBytes: 4096, Layers: 4},
		EventTime: 5 * time.Millisecond, Slots: 8,
		VersionMs: 4000, ConfigApplyMs: 2000, DrainMs: 2000, GraceS: 6, BudgetSlack: 40, TimeoutMs: 4000,
	}
}

// Start starts the emulated site and every process, and waits until the entries are ready.
func Start(t *testing.T, options site.Options) *Fleet {
	t.Helper()
	running, err := site.Start(options)
	require.NoError(t, err)
	f := &Fleet{t: t, Site: running, Log: &LogBuffer{}, processes: map[string]*process{}, openedStores: map[string]bool{}, settingsOverrides: map[string][]byte{}}
	t.Cleanup(f.close)
	for zone := range options.Zones {
		for index := range options.Entries {
			f.startEntry(zone, index, time.Now().Add(-options.RetryLimit().Window))
		}
		for index := range options.ModelServers {
			f.StartAgent(zone, index)
		}
	}
	f.WaitReady()
	return f
}

// logDirectoryVariable names the directory that receives the log of every test's fleet.
const logDirectoryVariable = "PINEVANE_TEST_LOGS"

func (f *Fleet) close() {
	if folder := os.Getenv(logDirectoryVariable); folder != "" {
		path := filepath.Join(folder, f.t.Name()+".log")
		// The names of subtests have slashes.
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			f.t.Log(err)
		}
		if err := os.WriteFile(path, []byte(f.Log.String()), 0o600); err != nil {
			f.t.Log(err)
		}
	}
	f.mutex.Lock()
	names := make([]string, 0, len(f.processes))
	for name := range f.processes {
		names = append(names, name)
	}
	f.mutex.Unlock()
	for _, name := range names {
		f.Kill(name)
	}
	// Agents close the socket for load queries when they have ended. The network must not be free before.
	f.agents.Wait()
	f.Site.Close()
}

// ProcessName returns the name of a process.
func ProcessName(role string, zone, index int) string {
	return launch.SiteProcessName(role, zone, index)
}

func (f *Fleet) newDaemon(role string, zone, index int) *daemon.Daemon {
	settings, err := platform.ParseSettings(f.Site.Settings(role, zone, index))
	require.NoError(f.t, err)
	f.mutex.Lock()
	opened := f.openedStores[settings.StoreAddress]
	f.openedStores[settings.StoreAddress] = true
	f.mutex.Unlock()
	if !opened {
		require.NoError(f.t, f.Site.OpenStore(role, zone, index))
	}
	log := logging.NewBounded(zapcore.InfoLevel, settings.Name, f.Log)
	return daemon.New(daemon.Options{
		Settings: settings, Role: role, Store: platform.NewStore(settings.StoreAddress), Decoder: platform.NewDecoder(), Log: log,
		Reload:      func() (fleet.Settings, error) { return platform.ParseSettings(f.currentSettings(role, zone, index)) },
		AdminListen: settings.IP + ":0",
	})
}

// currentSettings returns the current content of a process's settings file.
func (f *Fleet) currentSettings(role string, zone, index int) []byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if changed, known := f.settingsOverrides[ProcessName(role, zone, index)]; known {
		return changed
	}
	return f.Site.Settings(role, zone, index)
}

// Reload replaces an entry's settings file and makes the entry reload it.
func (f *Fleet) Reload(zone, index int, data []byte) {
	name := ProcessName(catalog.RoleEntry, zone, index)
	f.mutex.Lock()
	f.settingsOverrides[name] = data
	f.mutex.Unlock()
	f.Process(name).Reload()
}

func (f *Fleet) runProcess(name string, base *daemon.Daemon, run func(<-chan struct{}) error) {
	started := &process{daemon: base, stop: make(chan struct{}), done: make(chan struct{})}
	f.mutex.Lock()
	f.processes[name] = started
	f.mutex.Unlock()
	go func() {
		defer close(started.done)
		if err := run(started.stop); err != nil {
			f.t.Errorf("%s: %v", name, err)
		}
	}()
}

// StartEntry starts an entry that retries little at first, as after a restart.
func (f *Fleet) StartEntry(zone, index int) { f.startEntry(zone, index, time.Time{}) }

// startEntry starts an entry that counts for its retry budget since a time. Entries of a new fleet count as if
// they had run for a whole window, so that tests need not wait for it.
func (f *Fleet) startEntry(zone, index int, retriesSince time.Time) {
	base := f.newDaemon(catalog.RoleEntry, zone, index)
	f.runProcess(ProcessName(catalog.RoleEntry, zone, index), base, gateway.New(gateway.Options{
		Daemon: base, Dialect: platform.Dialect{}, Policy: forward.DefaultPolicy(), RetriesSince: retriesSince,
	}).Run)
}

// StartAgent starts the agent on a model server's machine.
func (f *Fleet) StartAgent(zone, index int) {
	base := f.newDaemon(catalog.RoleAgent, zone, index)
	agent := rollout.New(rollout.Options{
		Daemon: base, Server: platform.NewModelServer(f.Site.ModelAddress(zone, index)), Origin: platform.NewOrigin(),
	})
	f.runAgent(ProcessName(catalog.RoleAgent, zone, index), base, agent)
}

func (f *Fleet) runAgent(name string, base *daemon.Daemon, agent *rollout.Agent) {
	f.agents.Add(1)
	f.runProcess(name, base, func(stop <-chan struct{}) error {
		defer f.agents.Done()
		return agent.Run(stop)
	})
}

// Stop performs a planned stop of a process and waits until it is complete.
func (f *Fleet) Stop(name string) {
	f.mutex.Lock()
	stopping := f.processes[name]
	delete(f.processes, name)
	f.mutex.Unlock()
	close(stopping.stop)
	<-stopping.done
}

// Kill closes a process's servers and links at once.
func (f *Fleet) Kill(name string) {
	f.mutex.Lock()
	killed := f.processes[name]
	delete(f.processes, name)
	f.mutex.Unlock()
	if killed == nil {
		return
	}
	killed.daemon.Close()
	close(killed.stop)
}

// Process returns the daemon of a running process.
func (f *Fleet) Process(name string) *daemon.Daemon {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.processes[name].daemon
}

// Eventually waits until a condition holds and fails the test after the limit.
func (f *Fleet) Eventually(what string, limit time.Duration, condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, limit, 10*time.Millisecond, what)
}

// WaitReady waits until every entry is ready and has a status report from every agent.
func (f *Fleet) WaitReady() {
	f.t.Helper()
	options := f.Site.Options
	for zone := range options.Zones {
		for index := range options.Entries {
			f.Eventually("an entry is ready", 10*time.Second, func() bool { return f.ready(zone, index) && f.hasAllReports(zone, index) })
		}
	}
}

func (f *Fleet) ready(zone, index int) bool {
	response, err := http.Get(f.Site.ReadyURL(zone, index))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// hasAllReports reports whether an entry has received a status report from the agent of each model
// server.
func (f *Fleet) hasAllReports(zone, index int) bool {
	dump := f.Process(ProcessName(catalog.RoleEntry, zone, index)).Dump()
	return strings.Count(fmt.Sprintf("%+v", dump["servers"]), "Reachable:true") >= f.Site.Options.Zones*f.Site.Options.ModelServers
}

// Answer is the response that a caller received.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Complete is false when the answer broke off.
	Complete bool
	// ClosesConnection is set when the entry ends the connection after the answer.
	ClosesConnection bool
	// Events holds the IDs of a stream's events.
	Events []int
}

// client closes idle connections soon, so that none is reused for a process that has restarted on
// the same address.
var client = &http.Client{Transport: &http.Transport{IdleConnTimeout: 50 * time.Millisecond, DisableCompression: true}}

// Call sends one request to an entry, as a caller would.
func (f *Fleet) Call(ctx context.Context, zone, index int, method, path, id string, header map[string]string, body string) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, f.Site.EntryURL(zone, index)+path, strings.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	request.Host = site.Host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Authorization", "Token "+site.Key)
	request.Header.Set("Deadline-Ms", "4000")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{Status: response.StatusCode, Header: response.Header, ClosesConnection: response.Close}
	data, err := io.ReadAll(response.Body)
	answer.Body, answer.Complete = string(data), err == nil
	scanner := bufio.NewScanner(strings.NewReader(answer.Body))
	for scanner.Scan() {
		if text, found := strings.CutPrefix(scanner.Text(), "id: "); found {
			if number, err := strconv.Atoi(text); err == nil {
				answer.Events = append(answer.Events, number)
			}
		}
	}
	return answer, nil
}

// shortPrompt is the prompt size, in tokens, for tests that do not depend on it.
const shortPrompt = 10

// Stream requests a stream with the given number of events.
func (f *Fleet) Stream(ctx context.Context, zone, index int, id string, events int) (Answer, error) {
	return f.StreamWithPrompt(ctx, zone, index, id, shortPrompt, events)
}

// StreamWithPrompt requests a stream with the given number of events for a prompt of the given
// number of tokens.
func (f *Fleet) StreamWithPrompt(ctx context.Context, zone, index int, id string, prompt, events int) (Answer, error) {
	header := map[string]string{"Model": f.Site.Options.Weights.Model, "Token-Usage": fmt.Sprintf("%d,%d", prompt, events)}
	return f.Call(ctx, zone, index, http.MethodPost, site.StreamPrefix+"a", id, header, "prompt")
}
