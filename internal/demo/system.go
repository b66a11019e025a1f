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

// SystemOptions set up a demo on the stand-in of the users' platform.
type SystemOptions struct {
	Executable   string
	LogDirectory string
	Output       io.Writer
}

// Times and sizes of the demo on the platform's stand-in.
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

// systemDemo is one run.
type systemDemo struct {
	options SystemOptions
	fleet   *launch.SiteFleet
	site    *site.Site
	group   *launch.Group
	// residencies hold from before the first process starts.
	residencies site.Residencies

	answered atomic.Int64
	refused  atomic.Int64
	failed   atomic.Int64
	mutex    sync.Mutex
	broken   []string
}

// RunSystem runs entries and agents as processes against the stand-in of the
// users' platform: it answers requests, brings a version into service everywhere,
// adds an empty server, has servers ask to be spared, changes the configuration, stops an entry as planned, and
// checks from the servers' own ledger that the promises held.
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
	shape := d.site.Options
	d.printf("%d entries and %d agents run, as processes, in %d zones", shape.Zones*shape.Entries, shape.Zones*shape.ModelServers, shape.Zones)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for caller := range systemCallers {
		callers.Go(func() { d.call(ctx, caller) })
	}
	time.Sleep(systemWarmUp)
	err := d.changes()
	cancel()
	callers.Wait()
	if err != nil {
		return err
	}
	return d.report()
}

// changes does what operators do, under load.
func (d *systemDemo) changes() error {
	named := time.Now()
	d.site.NameVersion(2)
	if err := launch.WaitFor(systemVersionTime, "version 2 everywhere", func() bool { return d.allServe(2) }); err != nil {
		return err
	}
	d.printf("version 2 is in service everywhere %.1f s after its naming; the origin sent %.2f copies", time.Since(named).Seconds(), d.site.Origin.Copies())
	const late = 7
	if _, err := d.site.StartModel(1, late, 0); err != nil {
		return &fault.Unavailable{Target: "stand-in", Operation: "start", Cause: err}
	}
	came := time.Now()
	if err := d.fleet.Start(site.RoleAgent, 1, late); err != nil {
		return err
	}
	if err := launch.WaitFor(systemVersionTime, "the empty server serves", func() bool { return d.allServe(2) }); err != nil {
		return err
	}
	d.printf("an empty server serves %.1f s after it came; the origin has sent %.2f copies", time.Since(came).Seconds(), d.site.Origin.Copies())
	d.serversAsk()
	d.site.Configure(nil)
	stopped := launch.SiteProcessName(site.RoleEntry, 0, 0)
	began := time.Now()
	if err := d.group.Signal(stopped, syscall.SIGTERM); err != nil {
		return err
	}
	if !d.group.WaitExit(stopped, systemVersionTime) {
		return &fault.Timeout{Condition: "the stopped entry ends", After: systemVersionTime}
	}
	d.printf("an entry stopped as planned within %.1f s", time.Since(began).Seconds())
	return nil
}

// Shape of what servers ask for in their answers.
const (
	// askedRate is what one server names, in requests a second.
	askedRate = 2
	// askKnown is how long it takes until every entry knows.
	askKnown = time.Second
)

// serversAsk has one server say in its answers that it leaves and another one name a limit, and counts what they
// get after that.
func (d *systemDemo) serversAsk() {
	leaving, limited := d.site.Models[d.site.Options.ModelIP(0, 0)], d.site.Models[d.site.Options.ModelIP(1, 0)]
	leaving.SayLeaving(true)
	limited.NameLimit(strconv.Itoa(askedRate))
	time.Sleep(askKnown)
	from := time.Now()
	time.Sleep(site.LimitSpan)
	limited.NameLimit("")
	got := map[string]int{}
	for _, delivery := range d.site.Ledger.Deliveries() {
		if delivery.At.After(from) {
			got[delivery.Server]++
		}
	}
	d.printf("a server that says it leaves got %d requests in %s after that, one that takes %d a second got %d", got[leaving.ID()], site.LimitSpan, askedRate, got[limited.ID()])
	if got[leaving.ID()] > 0 {
		d.violation("%s got %d requests though it had said that it leaves", leaving.ID(), got[leaving.ID()])
	}
	if float64(got[limited.ID()]) > site.LimitBears(askedRate) {
		d.violation("%s got %d requests in %s, and takes %d a second", limited.ID(), got[limited.ID()], site.LimitSpan, askedRate)
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

// call sends requests of every kind, one after the other, to an entry of one zone,
// and to the next when that one refuses the connection.
func (d *systemDemo) call(ctx context.Context, caller int) {
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
		d.violation("%s: %v", id, err)
		return
	}
	response, err := client.Do(request)
	if err != nil {
		// An entry that has stopped takes no connections; the platform would not send
		// any there.
		time.Sleep(20 * time.Millisecond)
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	switch {
	case err != nil:
		d.failed.Add(1)
		d.violation("%s: the answer was cut: %v", id, err)
	case response.StatusCode == http.StatusServiceUnavailable:
		d.refused.Add(1)
	case response.StatusCode != http.StatusOK:
		d.failed.Add(1)
	case events > 0 && strings.Count(string(body), "data: "+id+"/") != events:
		d.violation("%s: not the whole own answer", id)
	default:
		d.answered.Add(1)
	}
}

func (d *systemDemo) violation(format string, values ...any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.broken = append(d.broken, fmt.Sprintf(format, values...))
}

// report judges from the servers' ledger and prints what was found.
func (d *systemDemo) report() error {
	runs := map[string]int{}
	for _, run := range d.site.Ledger.Runs() {
		if run.Spoilt {
			d.violation("%s ran on spoilt weights at %s", run.RequestID, run.Server)
		}
		if run.KeySeen || run.Tenant != site.Tenant {
			d.violation("%s reached %s with the caller's key or another tenant", run.RequestID, run.Server)
		}
		if run.Service == site.PlainService {
			runs[run.RequestID]++
		}
	}
	for _, arrival := range d.site.Ledger.Arrivals() {
		if d.residencies.Outside(arrival) {
			d.violation("%s came to %s in %s, where its route does not allow it", arrival.RequestID, arrival.Server, arrival.Region)
		}
	}
	for id, count := range runs {
		if count > 1 {
			d.violation("%s ran %d times", id, count)
		}
	}
	d.printf("requests: %d answered, %d refused, %d failed", d.answered.Load(), d.refused.Load(), d.failed.Load())
	d.printf("violations: %d", len(d.broken))
	for _, one := range d.broken {
		d.printf("  %s", one)
	}
	if len(d.broken) > 0 {
		return &fault.GuaranteeViolated{Guarantee: "demo", Detail: d.broken[0]}
	}
	return nil
}
