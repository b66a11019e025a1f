package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/launch"
)

// SystemOptions configures a demo on the emulation of the users' platform.
type SystemOptions struct {
	Executable   string
	LogDirectory string
	Output       io.Writer
}

// Times and sizes of the demo on the emulation of the users' platform.
const (
	systemNetwork     = 140
	systemWarmUp      = 2 * time.Second
	systemVersionTime = 8 * time.Second
	systemCallers     = 18
	systemEvents      = 12
	systemReady       = 20 * time.Second
)

func systemFleet() site.Options {
	return site.Options{
		Network: systemNetwork + os.Getpid()%50, Zones: 3, Entries: 2, ModelServers: 3, PlainServers: 1,
		Weights:   site.Weights{Model: "dialect", Pieces: 96, PieceBytes: 24576, Layers: 16},
		EventTime: 10 * time.Millisecond, Slots: 16,
		VersionMs: int(systemVersionTime.Milliseconds()), ConfigApplyMs: 2000, DrainMs: 2000, GraceS: 8, BudgetSlack: 100, TimeoutMs: 6000,
	}
}

// systemDemo is a running demo.
type systemDemo struct {
	options SystemOptions
	fleet   *launch.SiteFleet
	site    *site.Site
	group   *launch.Group
	// residencies are in force before the first process starts.
	residencies site.Residencies

	answered   atomic.Int64
	refused    atomic.Int64
	failed     atomic.Int64
	mutex      sync.Mutex
	violations []string
}

// RunSystem runs entries and agents as processes on an emulation of the users' platform. It sends
// requests, rolls out a version, adds an empty server, has servers announce that they leave or
// limit their rate, restores the store from a copy, pauses one server and then all, changes the configuration, stops an entry gracefully, and verifies the
// guarantees from the servers' request log.
func RunSystem(options SystemOptions) error {
	fleet, err := launch.NewSiteFleet(options.Executable, options.LogDirectory, systemFleet())
	if err != nil {
		return err
	}
	defer fleet.Close()
	d := &systemDemo{options: options, fleet: fleet, site: fleet.Site, group: fleet.Group}
	return d.run()
}

func (d *systemDemo) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(d.options.Output, format+"\n", values...)
}

func (d *systemDemo) run() error {
	d.residencies = d.site.RestrictTwoRoutes()
	if err := d.fleet.StartAll(systemReady); err != nil {
		return err
	}
	options := d.site.Options
	d.printf("%d entries and %d agents are running as processes in %d zones", options.Zones*options.Entries, options.Zones*options.ModelServers, options.Zones)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for caller := range systemCallers {
		callers.Go(func() { d.runCaller(ctx, caller) })
	}
	time.Sleep(systemWarmUp)
	err := d.runOperatorActions()
	cancel()
	callers.Wait()
	if err != nil {
		return err
	}
	return d.report()
}

// runOperatorActions performs the operators' actions under load.
func (d *systemDemo) runOperatorActions() error {
	announced := time.Now()
	d.site.AnnounceVersion(2)
	if err := launch.WaitFor(systemVersionTime, "version 2 to be in service everywhere", func() bool { return d.allServe(2) }); err != nil {
		return err
	}
	d.printf("version 2 is in service everywhere %.1f s after its announcement; the origin sent %.2f copies", time.Since(announced).Seconds(), d.site.Origin.Copies())
	const addedIndex = 7
	if _, err := d.site.StartModel(1, addedIndex, 0); err != nil {
		return &fault.Unavailable{Target: "stand-in", Operation: "start", Cause: err}
	}
	added := time.Now()
	if err := d.fleet.Start(site.RoleAgent, 1, addedIndex); err != nil {
		return err
	}
	if err := launch.WaitFor(systemVersionTime, "the empty server to serve", func() bool { return d.allServe(2) }); err != nil {
		return err
	}
	d.printf("an empty server is in service %.1f s after it was added; the origin has sent %.2f copies", time.Since(added).Seconds(), d.site.Origin.Copies())
	d.checkServerNotices()
	d.checkStoreRestore()
	d.checkPauses()
	d.site.Configure(nil)
	stopped := launch.SiteProcessName(site.RoleEntry, 0, 0)
	stopping := time.Now()
	if err := d.group.Signal(stopped, syscall.SIGTERM); err != nil {
		return err
	}
	if !d.group.WaitExit(stopped, systemVersionTime) {
		return &fault.Timeout{Condition: "the stopped entry to exit", After: systemVersionTime}
	}
	d.printf("an entry stopped gracefully within %.1f s", time.Since(stopping).Seconds())
	return nil
}

// Parameters of the server notices.
const (
	// announcedRate is the rate limit that a server announces, in requests per second.
	announcedRate = 2
	// noticePropagation is the time until every entry knows a notice.
	noticePropagation = time.Second
)

// checkServerNotices has one server announce that it leaves and another one a rate limit, and
// counts the requests that they receive after that.
func (d *systemDemo) checkServerNotices() {
	leaving, limited := d.site.Models[d.site.Options.ModelIP(0, 0)], d.site.Models[d.site.Options.ModelIP(1, 0)]
	leaving.AnnounceLeaving(true)
	limited.AnnounceLimit(strconv.Itoa(announcedRate))
	time.Sleep(noticePropagation)
	start := time.Now()
	time.Sleep(site.LimitWindow)
	limited.AnnounceLimit("")
	received := map[string]int{}
	for _, delivery := range d.site.Requests.Deliveries() {
		if delivery.At.After(start) {
			received[delivery.Server]++
		}
	}
	d.printf("a server that announced it is leaving received %d requests in the next %s, one with a limit of %d per second received %d", received[leaving.ID()], site.LimitWindow, announcedRate, received[limited.ID()])
	if received[leaving.ID()] > 0 {
		d.recordViolation("%s received %d requests after it had announced that it is leaving", leaving.ID(), received[leaving.ID()])
	}
	if float64(received[limited.ID()]) > site.MaxUnderLimit(announcedRate) {
		d.recordViolation("%s received %d requests in %s with a limit of %d per second", limited.ID(), received[limited.ID()], site.LimitWindow, announcedRate)
	}
}

func (d *systemDemo) allServe(version uint64) bool {
	for _, server := range d.site.Models {
		if server.Version() != version {
			return false
		}
	}
	return true
}

// runCaller sends requests of all kinds, one at a time, to alternating entries of a zone.
func (d *systemDemo) runCaller(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("demo-%d-%d", caller, number)
		entry := (caller + number) % d.site.Options.Entries
		switch number % 4 {
		case 0:
			d.send(client, caller, entry, http.MethodPost, site.OncePrefix+"save", id, 0)
		case 1:
			d.send(client, caller, entry, http.MethodGet, site.SafePrefix+"card", id, 0)
		default:
			d.send(client, caller, entry, http.MethodPost, site.StreamPrefix+"gloss", id, systemEvents)
		}
	}
}

func (d *systemDemo) send(client *http.Client, caller, entry int, method, path, id string, events int) {
	request, err := d.site.NewRequest(caller%d.site.Options.Zones, entry, method, path, id, "words", events)
	if err != nil {
		d.recordViolation("%s: %v", id, err)
		return
	}
	response, err := client.Do(request)
	if err != nil {
		// A stopped entry accepts no connections; the platform's load balancer would not send any
		// to it.
		time.Sleep(20 * time.Millisecond)
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	switch {
	case err != nil:
		d.failed.Add(1)
		d.recordViolation("%s: incomplete answer: %v", id, err)
	case response.StatusCode == http.StatusServiceUnavailable:
		d.refused.Add(1)
	case response.StatusCode != http.StatusOK:
		d.failed.Add(1)
	case events > 0 && strings.Count(string(body), "data: "+id+"/") != events:
		d.recordViolation("%s: incomplete or wrong answer", id)
	default:
		d.answered.Add(1)
	}
}

func (d *systemDemo) recordViolation(format string, values ...any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, values...))
}

// report verifies the guarantees from the servers' request log and prints the result.
func (d *systemDemo) report() error {
	once := map[string]bool{}
	for _, arrival := range d.site.Requests.Arrivals() {
		once[arrival.RequestID] = strings.HasPrefix(arrival.Path, site.OncePrefix)
	}
	runs := map[string]int{}
	for _, run := range d.site.Requests.Runs() {
		if run.Corrupt {
			d.recordViolation("%s was executed with corrupt weights on %s", run.RequestID, run.Server)
		}
		if run.KeyReceived || run.Tenant != site.Tenant {
			d.recordViolation("%s reached %s with the caller's key or a wrong tenant", run.RequestID, run.Server)
		}
		if once[run.RequestID] {
			runs[run.RequestID]++
		}
	}
	for _, arrival := range d.site.Requests.Arrivals() {
		if d.residencies.Outside(arrival) {
			d.recordViolation("%s reached %s in %s, which is outside its allowed regions", arrival.RequestID, arrival.Server, arrival.Region)
		}
	}
	for id, count := range runs {
		if count > 1 {
			d.recordViolation("%s was executed %d times", id, count)
		}
	}
	d.printf("requests: %d answered, %d refused, %d failed", d.answered.Load(), d.refused.Load(), d.failed.Load())
	d.printf("violations: %d", len(d.violations))
	for _, violation := range d.violations {
		d.printf("  %s", violation)
	}
	if len(d.violations) > 0 {
		return &fault.GuaranteeViolated{Guarantee: "demo", Detail: d.violations[0]}
	}
	return nil
}
