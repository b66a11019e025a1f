// Package demo runs a small fleet on one machine, as processes on loopback addresses. It brings a
// first version live, sends requests, rolls out a second version under load, stops machines
// gracefully, and verifies the guarantees from the emulators' own records.
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/deployment"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/launch"
	"pinevane.example/pinevane/internal/weights"
	"pinevane.example/pinevane/internal/workload"
)

// Options configures a demo.
type Options struct {
	Executable   string
	Directory    string
	LogDirectory string
	// Hold keeps the fleet running until Stop is closed.
	Hold bool
	Stop <-chan struct{}
	// Output receives the progress and the report.
	Output io.Writer
	// EnginesPerZone overrides the deployment's number of engines if not zero.
	EnginesPerZone int
	// EntryFlags are passed to every entry.
	EntryFlags []string
}

// Rates (bytes per second), callers and timeouts of the demo.
const (
	linkRate     = 16 << 20
	originRate   = 32 << 20
	workers      = 24
	steadyTime   = 4 * time.Second
	readyTimeout = 45 * time.Second
	liveTimeout  = 45 * time.Second
	stopTimeout  = 30 * time.Second
)

// demo is a running demo.
type demo struct {
	options    Options
	deployment *deployment.Deployment
	snapshot   *configuration.Snapshot
	fleet      *launch.Fleet
	client     *workload.Client
	recorder   *workload.Recorder
	startedAt  time.Time
	model      string
	versions   []weights.Synthetic
	manifests  map[string]*weights.Manifest
	// stopped is the set of addresses that callers no longer use.
	stopped sync.Map
}

// Run runs the demo. The report is nil if the fleet was held; the error is a *fault.GuaranteeViolated
// if a guarantee was violated.
func Run(options Options) (*Report, error) {
	d, err := prepare(options)
	if err != nil {
		return nil, err
	}
	defer d.fleet.Stop()
	if err := d.start(); err != nil {
		return nil, err
	}
	if options.Hold {
		d.waitForStop()
		return nil, nil
	}
	report, err := d.run()
	if err != nil {
		return nil, err
	}
	report.print(options.Output, d.versions)
	return report, report.check(d.versions)
}

func prepare(options Options) (*demo, error) {
	deployed, err := deployment.Read(options.Directory)
	if err != nil {
		return nil, err
	}
	if len(deployed.Weights) < 2 {
		return nil, &fault.InvalidDocument{Document: options.Directory, Path: "weights", Reason: "the demo needs two versions"}
	}
	if options.EnginesPerZone > 0 {
		for i := range deployed.Zones {
			deployed.Zones[i].Engines = options.EnginesPerZone
		}
	}
	snapshot, err := configuration.ParseDirectory(options.Directory)
	if err != nil {
		return nil, err
	}
	d := &demo{
		options: options, deployment: deployed, snapshot: snapshot, recorder: &workload.Recorder{}, startedAt: time.Now(),
		model: deployed.Weights[0].Model, versions: deployed.Weights, manifests: map[string]*weights.Manifest{},
	}
	identities := workload.NewIdentities()
	for _, synthetic := range deployed.Weights {
		manifest := synthetic.Manifest()
		identities.Add(manifest)
		d.manifests[synthetic.Version] = manifest
	}
	d.client = workload.NewClient(identities)
	d.fleet = launch.New(launch.Options{
		Executable: options.Executable, Deployment: deployed, LogDirectory: options.LogDirectory,
		LinkRate: linkRate, OriginRate: originRate,
		EntryFlags: options.EntryFlags, AgentFlags: []string{"--retire-grace", "2s"},
	})
	return d, nil
}

func (d *demo) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.options.Output, "%6.1fs  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

func (d *demo) machines(role external.Role, engines bool) []deployment.Machine {
	var result []deployment.Machine
	for _, machine := range d.fleet.Machines {
		if machine.Role == role && (role == external.RoleEntry || (machine.Service == "") == engines) {
			result = append(result, machine)
		}
	}
	return result
}

// start starts the fleet and waits until the first version is live everywhere.
func (d *demo) start() error {
	d.printf("starting %d machines of %s", len(d.fleet.Machines), d.deployment.Name)
	if err := d.fleet.Start(); err != nil {
		return err
	}
	if err := d.publishVersion(d.versions[0].Version); err != nil {
		return err
	}
	d.printf("%d processes are running; waiting for version %s", d.fleet.Count(), d.versions[0].Version)
	if _, err := d.waitLive(d.versions[0].Version, time.Now()); err != nil {
		return err
	}
	for _, machine := range d.machines(external.RoleEntry, false) {
		if err := launch.WaitFor(readyTimeout, machine.ID+" to be ready", func() bool { return d.entryReady(machine) }); err != nil {
			return err
		}
	}
	d.printf("every entry is ready")
	return nil
}

// entryReady reports whether an entry is ready and linked to every back end in its routing table,
// which in a larger fleet is a subset of all.
func (d *demo) entryReady(machine deployment.Machine) bool {
	dump, err := d.fleet.Dump(machine)
	if err != nil || !dump.Ready {
		return false
	}
	var views []struct {
		Linked bool `json:"linked"`
	}
	if !dump.Entry("routing.replicas", &views) || len(views) == 0 {
		return false
	}
	for _, view := range views {
		if !view.Linked {
			return false
		}
	}
	return true
}

// waitLive waits until every engine serves a version and returns the sorted times that this took,
// measured from a start time.
func (d *demo) waitLive(version string, from time.Time) ([]time.Duration, error) {
	engines := d.machines(external.RoleAgent, true)
	live := map[string]time.Duration{}
	reported := 0
	err := launch.WaitFor(liveTimeout, "version "+version+" to be live on every replica", func() bool {
		for _, machine := range engines {
			if _, done := live[machine.ID]; done {
				continue
			}
			if dump, err := d.fleet.Dump(machine); err == nil && dump.Serves(d.model, version) {
				live[machine.ID] = time.Since(from)
			}
		}
		if len(live) != reported {
			reported = len(live)
			d.printf("version %s is live on %d of %d replicas", version, reported, len(engines))
		}
		return len(live) == len(engines)
	})
	times := make([]time.Duration, 0, len(live))
	for _, after := range live {
		times = append(times, after)
	}
	slices.Sort(times)
	return times, err
}

func (d *demo) waitForStop() {
	entries := d.machines(external.RoleEntry, false)
	tenant := d.tenants()[0]
	_, _ = fmt.Fprintf(d.options.Output, `
The fleet is running. Try:

  curl -s http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' -d '{"model":"%[3]s","messages":[{"role":"user","content":"hello"}],"max_tokens":16}'
  curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' -d '{"model":"%[3]s","messages":[{"role":"user","content":"hello"}],"max_tokens":16,"stream":true}'

address: %[1]s
key: %[2]s
state dump: pinevane dump %[4]s

Interrupt to stop.
`, entries[0].Address, deployment.DemoKey(tenant), d.model, entries[0].AdminAddress())
	<-d.options.Stop
	d.printf("stopping")
	d.stopAll()
}

// stopAll stops every process gracefully: entries first, then agents.
func (d *demo) stopAll() {
	for _, role := range []external.Role{external.RoleEntry, external.RoleAgent} {
		for _, machine := range d.fleet.Machines {
			if machine.Role == role {
				_ = d.fleet.Signal(machine.ID, syscall.SIGTERM)
			}
		}
		for _, machine := range d.fleet.Machines {
			if machine.Role == role {
				d.fleet.WaitExit(machine.ID, stopTimeout)
			}
		}
	}
}

// run applies load during a rollout and a graceful stop, and returns the report.
func (d *demo) run() (*Report, error) {
	before, err := d.originBytes()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := d.startLoad(ctx)
	time.Sleep(steadyTime)
	d.printf("%d requests answered on version %s", workload.Summarize(d.recorder.Results()).Answered, d.versions[0].Version)
	times, err := d.rollOut(d.versions[1])
	if err != nil {
		return nil, err
	}
	after, err := d.originBytes()
	if err != nil {
		return nil, err
	}
	if err := d.plannedStops(); err != nil {
		return nil, err
	}
	time.Sleep(steadyTime / 2)
	cancel()
	load.Wait()
	return d.report(times, after-before)
}

// publishVersion publishes the model's document with the given version.
func (d *demo) publishVersion(version string) error {
	_, digest, err := d.manifests[version].Encode()
	if err != nil {
		return err
	}
	parameters := map[string]string{"version": strconv.Quote(version), "manifest": strconv.Quote(string(digest))}
	if d.options.EnginesPerZone > 0 {
		parameters["replicasPerZone"] = strconv.Itoa(d.options.EnginesPerZone)
	}
	documents, err := d.fleet.ModelDocument(d.model, parameters)
	if err != nil {
		return err
	}
	return d.fleet.Publish(documents)
}

func (d *demo) rollOut(next weights.Synthetic) ([]time.Duration, error) {
	d.printf("publishing version %s: %.1f MB in %d chunks, %.0f MB/s per link, %.0f MB/s at the origin", next.Version,
		megabytes(next.Bytes), next.ChunkCount(), megabytes(linkRate), megabytes(originRate))
	published := time.Now()
	if err := d.publishVersion(next.Version); err != nil {
		return nil, err
	}
	return d.waitLive(next.Version, published)
}

// plannedStops stops an agent and an entry gracefully under load.
func (d *demo) plannedStops() error {
	agent := d.machines(external.RoleAgent, true)[0]
	entry := d.machines(external.RoleEntry, false)[0]
	d.printf("planned stop of agent %s and entry %s", agent.ID, entry.ID)
	// A load balancer stops sending to an entry that is not ready.
	d.stopped.Store(entry.Address, true)
	for _, machine := range []deployment.Machine{agent, entry} {
		if err := d.fleet.Signal(machine.ID, syscall.SIGTERM); err != nil {
			return err
		}
	}
	for _, machine := range []deployment.Machine{agent, entry} {
		if !d.fleet.WaitExit(machine.ID, stopTimeout) {
			return &fault.Timeout{Condition: "planned stop of " + machine.ID, After: stopTimeout}
		}
	}
	d.printf("both have completed their open requests and exited")
	return nil
}

// startLoad starts callers that send requests to all entries until the context is cancelled; their
// current requests are completed.
func (d *demo) startLoad(ctx context.Context) *sync.WaitGroup {
	var load sync.WaitGroup
	var sequence atomic.Int64
	for worker := range workers {
		load.Go(func() {
			generator := rand.New(rand.NewPCG(uint64(worker), 1))
			for ctx.Err() == nil {
				request := d.nextRequest(generator, sequence.Add(1))
				d.recorder.Add(d.client.Do(context.Background(), d.pickEntry(generator), request))
			}
		})
	}
	return &load
}

func (d *demo) pickEntry(generator *rand.Rand) string {
	entries := d.machines(external.RoleEntry, false)
	for {
		address := entries[generator.IntN(len(entries))].Address
		if _, stopped := d.stopped.Load(address); !stopped {
			return address
		}
	}
}
