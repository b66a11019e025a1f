// Package fleettest runs a small fleet inside a test: real entries and agents over loopback, with
// emulated engines and services in the same process.
package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/agent"
	"pinevane.example/pinevane/internal/blackboard"
	"pinevane.example/pinevane/internal/emulator"
	"pinevane.example/pinevane/internal/entry"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/node"
	"pinevane.example/pinevane/internal/promise"
	"pinevane.example/pinevane/internal/weights"
	"pinevane.example/pinevane/internal/workload"
)

// WaitTimeout bounds each wait for a condition. Only a broken fleet reaches it.
const WaitTimeout = 20 * time.Second

// Names that every test fleet uses.
const (
	Model     = "model"
	Service   = "ledger"
	Key       = "test-key"
	keyDigest = "62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef"
)

// Fleet holds the processes and emulated services of a running fleet.
type Fleet struct {
	t             testing.TB
	Configuration *emulator.Publication
	Membership    *emulator.Publication
	Origin        *emulator.Origin
	Client        *workload.Client
	Recorder      *workload.Recorder

	Engines  []*Machine
	Services []*Machine
	Entries  []*Process

	configurationAddress string
	membershipAddress    string
	originAddress        string
	identities           *workload.Identities
}

// Process is a running entry or agent.
type Process struct {
	Node    *node.Node
	Address string
	stop    chan struct{}
	done    chan struct{}
	stopped bool
}

// Machine is a back end together with its agent.
type Machine struct {
	*Process
	Engine  *emulator.Engine
	Service *emulator.Service
}

// New starts a fleet in one zone with the given numbers of engines, plain services and entries, and
// publishes version "1" of the model.
func New(t *testing.T, engines, services, entries int) *Fleet {
	return newFleet(t, engines, services, entries)
}

func newFleet(t testing.TB, engines, services, entries int) *Fleet {
	f := &Fleet{
		t:             t,
		Configuration: emulator.NewPublication(1, 0),
		Membership:    emulator.NewPublication(1, 0),
		Origin:        emulator.NewOrigin(0),
		Recorder:      &workload.Recorder{},
		identities:    workload.NewIdentities(),
	}
	f.Client = workload.NewClient(f.identities)
	f.configurationAddress = f.addressOf(httptest.NewServer(f.Configuration.Handler(external.ConfigurationPath)))
	f.membershipAddress = f.addressOf(httptest.NewServer(f.Membership.Handler(external.MembershipPath)))
	f.originAddress = f.addressOf(httptest.NewServer(f.Origin.Handler()))
	f.PublishVersion("1")
	for i := range engines {
		f.Engines = append(f.Engines, f.startEngine(fmt.Sprintf("engine-%d", i)))
	}
	for i := range services {
		f.Services = append(f.Services, f.startService(fmt.Sprintf("service-%d", i)))
	}
	for i := range entries {
		f.Entries = append(f.Entries, f.StartEntry(fmt.Sprintf("entry-%d", i)))
	}
	t.Cleanup(f.stopAll)
	f.WaitServing("1")
	f.waitConnected()
	return f
}

// addressOf returns a server's address, and closes the server's connections when the test ends.
func (f *Fleet) addressOf(server *httptest.Server) string {
	f.t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// engineOptions returns the options of an emulated engine with short delays.
func engineOptions() emulator.EngineOptions {
	options := emulator.DefaultEngineOptions()
	options.FirstToken, options.BetweenTokens, options.LoadTime = 2*time.Millisecond, 2*time.Millisecond, 10*time.Millisecond
	return options
}

// NodeOptions returns the options of a process of this fleet.
func (f *Fleet) NodeOptions(id string, role external.Role) node.Options {
	return node.Options{
		ID: id, Role: role, Zone: "zone", Region: "region", Listen: "127.0.0.1:0",
		ConfigurationAddress: f.configurationAddress, MembershipAddress: f.membershipAddress,
	}
}

func (f *Fleet) startEngine(id string) *Machine {
	engine := emulator.NewEngine(engineOptions(), emulator.NewStore(0))
	address := f.addressOf(httptest.NewServer(engine.Handler()))
	process := agent.New(agent.Options{
		Node: f.NodeOptions(id, external.RoleAgent), BackEndAddress: address, StoreAddress: address,
		OriginAddress: f.originAddress, RetireGrace: 100 * time.Millisecond,
	}, logging.Nop())
	return &Machine{Process: f.start(process.Node(), process.Run, ""), Engine: engine}
}

func (f *Fleet) startService(id string) *Machine {
	service := emulator.NewService(Service, 50*time.Millisecond)
	address := f.addressOf(httptest.NewServer(service.Handler()))
	process := agent.New(agent.Options{
		Node: f.NodeOptions(id, external.RoleAgent), Service: Service, BackEndAddress: address,
	}, logging.Nop())
	return &Machine{Process: f.start(process.Node(), process.Run, Service), Service: service}
}

// StartEntry starts another entry.
func (f *Fleet) StartEntry(id string, seeds ...string) *Process {
	options := f.NodeOptions(id, external.RoleEntry)
	options.Seeds = seeds
	process := entry.New(entry.Options{Node: options}, logging.Nop())
	return f.start(process.Node(), process.Run, "")
}

func (f *Fleet) start(base *node.Node, run func(<-chan struct{}) error, service string) *Process {
	require.NoError(f.t, base.Listen())
	started := &Process{Node: base, Address: base.Address(), stop: make(chan struct{}), done: make(chan struct{})}
	member := external.Member{
		ID: base.ID(), Role: external.RoleAgent, Zone: base.Zone(), Region: base.Region(),
		Address: started.Address, Service: service,
	}
	if strings.HasPrefix(base.ID(), "entry") {
		member.Role = external.RoleEntry
	}
	data, err := json.Marshal(member)
	require.NoError(f.t, err)
	f.Membership.Change(map[string][]byte{member.ID: data})
	go func() {
		defer close(started.done)
		_ = run(started.stop)
	}()
	return started
}

// BeginStop begins a planned stop.
func (p *Process) BeginStop() {
	if !p.stopped {
		p.stopped = true
		close(p.stop)
	}
}

// WaitStopped waits until a planned stop is complete.
func (f *Fleet) WaitStopped(p *Process) {
	select {
	case <-p.done:
	case <-time.After(WaitTimeout):
		f.t.Fatal("the planned stop did not complete")
	}
}

func (f *Fleet) stopAll() {
	var all []*Process
	all = append(all, f.Entries...)
	for _, machine := range append(append([]*Machine(nil), f.Engines...), f.Services...) {
		all = append(all, machine.Process)
	}
	for _, process := range all {
		process.BeginStop()
	}
	for _, process := range all {
		f.WaitStopped(process)
	}
}

// Synthetic returns the generated weights of a version.
func Synthetic(version string) weights.Synthetic {
	return weights.Synthetic{Model: Model, Version: version, Bytes: 1 << 20, ChunkBytes: 64 << 10, ChangedFraction: 1}
}

// PublishVersion adds a version to the origin and publishes it.
func (f *Fleet) PublishVersion(version string) {
	manifest, digest, err := f.Origin.Add(Synthetic(version))
	require.NoError(f.t, err)
	f.identities.Add(manifest)
	f.Configuration.Change(Documents(version, string(digest)))
}

// Documents returns a complete configuration that contains the given version of the model.
func Documents(version, manifest string) map[string][]byte {
	return map[string][]byte{
		"model.template":   []byte("template: model\nkind: model\nparameters:\n  version: {type: string}\n  manifest: {type: string}\nbody:\n  version: ${version}\n  manifest: ${manifest}\n  replicasPerZone: 16\n"),
		"service.template": []byte("template: service\nkind: service\nbody:\n  repeatable: false\n"),
		"tenant.template":  []byte("template: tenant\nkind: tenant\nbody:\n  keyDigests: [\"" + keyDigest + "\"]\n  priority: 5\n  requestsPerSecond: 10000\n  tokensPerSecond: 1000000\n  concurrency: 1000\n  models: [" + Model + "]\n  services: [" + Service + "]\n"),
		"model":            []byte("instance: " + Model + "\nfrom: model\nparameters: {version: \"" + version + "\", manifest: \"" + manifest + "\"}\n"),
		"service":          []byte("instance: " + Service + "\nfrom: service\n"),
		"tenant":           []byte("instance: tenant\nfrom: tenant\n"),
	}
}

// Wait polls until a condition holds.
func (f *Fleet) Wait(what string, condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, WaitTimeout, 10*time.Millisecond, what)
}

// Serves reports whether a machine accepts new requests for a version.
func (m *Machine) Serves(version string) bool {
	served, _ := blackboard.Read(m.Node.Board, agent.ServedKey)
	for _, candidate := range served {
		if candidate.Version == version && !candidate.Retiring {
			return true
		}
	}
	return false
}

// WaitServing waits until every engine serves a version.
func (f *Fleet) WaitServing(version string) {
	f.t.Helper()
	f.Wait("version "+version+" is served by every replica", func() bool {
		for _, machine := range f.Engines {
			if !machine.Serves(version) {
				return false
			}
		}
		return true
	})
}

// WaitOnlyOffered waits until every replica offers the entry this version and no other. An engine
// holds a version before its agent has verified and reported it; until then requests go to the
// previous one.
func (f *Fleet) WaitOnlyOffered(process *Process, version string) {
	f.t.Helper()
	f.Wait("version "+version+" is the only one offered by every replica", func() bool {
		views, _ := blackboard.Read(process.Node.Board, entry.ReplicasKey)
		offering := 0
		for _, view := range views {
			for _, served := range view.Status.Served {
				switch {
				case served.Retiring:
				case served.Version != version:
					return false
				default:
					offering++
				}
			}
		}
		return offering >= len(f.Engines)
	})
}

// waitConnected waits until every entry is connected to every back end.
func (f *Fleet) waitConnected() {
	f.Wait("every entry is connected to every back end", func() bool {
		for _, process := range f.Entries {
			if !f.Ready(process) {
				return false
			}
		}
		return true
	})
}

// Ready reports whether an entry is ready and connected to every back end.
func (f *Fleet) Ready(process *Process) bool {
	views, _ := blackboard.Read(process.Node.Board, entry.ReplicasKey)
	linked := 0
	for _, view := range views {
		if view.Linked && view.Status.Sequence > 0 {
			linked++
		}
	}
	return linked >= len(f.Engines)+len(f.Services) && process.Node.Dump().Ready
}

// Do sends a request through an entry and records the result.
func (f *Fleet) Do(process *Process, request workload.Request) workload.Result {
	request.Key = Key
	result := f.Client.Do(context.Background(), process.Address, request)
	f.Recorder.Add(result)
	return result
}

// Stream returns a request for a streamed generation of the given number of tokens.
func Stream(prompt string, tokens int) workload.Request {
	return workload.Request{Kind: workload.KindStream, Model: Model, Prompt: prompt, MaximumTokens: tokens}
}

// Call returns a non-repeatable call to the plain service.
func Call(body string) workload.Request {
	return workload.Request{Kind: workload.KindCall, Service: Service, Path: "/items", Body: body, NotRepeatable: true}
}

// Violations checks every recorded result against the back ends' records.
func (f *Fleet) Violations() []promise.Violation {
	calls, generations := promise.Runs{}, promise.Runs{}
	for _, machine := range f.Services {
		for id, runs := range machine.Service.Runs() {
			calls[id] += runs
		}
	}
	for _, machine := range f.Engines {
		for _, record := range machine.Engine.Records() {
			generations[record.ID]++
		}
	}
	return promise.Check(f.Recorder.Results(), calls, generations)
}
