package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/launch"
)

// Options set up a soak.
type Options struct {
	Executable string
	// LogDirectory gets a log file a process; it is kept.
	LogDirectory string
	Seed         uint64
	Duration     time.Duration
	// Kinds are those that the schedule is drawn from.
	Kinds  []Kind
	Output io.Writer
}

// Times and sizes of a run.
const (
	firstNetwork     = 200
	networks         = 50
	readyTimeout     = 20 * time.Second
	progressInterval = 30 * time.Second
	// minCheckInterval is how often the judge looks while the fleet runs, and looks how often at most
	// in a whole run, since each look goes through all that was seen.
	minCheckInterval = 5 * time.Second
	maxChecks        = 100
	// exitPollTimeout is how long a process is waited for that is looked after.
	exitPollTimeout = time.Millisecond
	// callerSeedStream tells the callers' random numbers from others of the same seed.
	callerSeedStream = 100
	// settleTime follows the last fault; then the fleet must serve again.
	settleTime = 12 * time.Second
	// finalPeriod is how long requests are counted then, finalShare the part of them that
	// must be answered.
	finalPeriod   = 3 * time.Second
	minFinalRatio = 0.95
)

func siteOptions() site.Options {
	return site.Options{
		Network: site.FreeNetwork(firstNetwork, networks, os.Getpid()), Zones: 3, Entries: 2, ModelServers: 3, PlainServers: 1,
		Weights:   site.Weights{Model: "dialect", Pieces: 48, PieceBytes: 24576, Layers: 16},
		EventTime: 10 * time.Millisecond, Slots: 16,
		VersionMs: 8000, ConfigApplyMs: 2000, DrainMs: 3000, GraceS: 8, BudgetSlack: 100, TimeoutMs: 6000,
		// Entries act on an evacuation when they hear of it, so that 3 s of the platform's 5 s
		// must be enough in a fleet this small. What a cold server bears, 15 requests in a
		// second, is above the 12 that ordinary load sends each, and below the 24 that a
		// burst sends, or the streams of two zones to the servers of one.
		EvacuateMs: 3000, ColdPerS: 8, ColdStartS: 3, ColdOvershoot: 1.5, ColdSlack: 3,
	}
}

// run is one soak.
type run struct {
	options Options
	fleet   *launch.SiteFleet
	site    *site.Site
	callers *callers

	// timeline holds what is still to be done; only the run's own goroutine touches it
	// and what is below.
	timeline    []step
	busy        map[string]bool
	version     uint64
	record      Record
	violations  []Violation
	faultCounts map[Kind]int
	allowed     site.AllowedRegions
	// printed are the violations that have been printed.
	printed map[Violation]bool
	// callerGroup are the callers, which end with their context.
	callerGroup sync.WaitGroup
	context     context.Context
	// bursts counts the bursts of callers, whose numbers follow those of the lasting ones.
	bursts int
	// crashFaults counts the faults that ask for contents which end servers; restarted are the servers
	// that were started again since.
	crashFaults int
	restarted   map[string]bool
}

// step is something to do at a time.
type step struct {
	at time.Time
	do func() error
}

// schedule queues something to be done a while from now.
func (r *run) schedule(pause time.Duration, do func() error) {
	r.timeline = append(r.timeline, step{at: time.Now().Add(pause), do: do})
	slices.SortStableFunc(r.timeline, func(a, b step) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
}

// Run plays the schedule of a seed and reports what it found. A broken promise is a
// *fault.PromiseBroken.
func Run(options Options) error {
	fleet, err := launch.NewSiteFleet(options.Executable, options.LogDirectory, siteOptions())
	if err != nil {
		return err
	}
	defer fleet.Close()
	r := newRun(options, fleet)
	if err := fleet.StartAll(readyTimeout); err != nil {
		return err
	}
	r.printf("seed %d: %d entries and %d agents run, as processes, in %d zones; logs in %s", options.Seed,
		r.site.Options.Zones*r.site.Options.Entries, r.site.Options.Zones*r.site.Options.ModelServers, r.site.Options.Zones, options.LogDirectory)
	return r.execute()
}

// newRun prepares a run on a fleet of which no process runs yet.
func newRun(options Options, fleet *launch.SiteFleet) *run {
	bounds := fleet.Site.Options
	r := &run{
		options: options, fleet: fleet, site: fleet.Site, callers: &callers{site: fleet.Site},
		busy: map[string]bool{}, version: 1, faultCounts: map[Kind]int{}, printed: map[Violation]bool{}, restarted: map[string]bool{}, allowed: bounds.TwoRoutes(),
		record: Record{
			VersionApply: time.Duration(bounds.VersionMs) * time.Millisecond, Drain: time.Duration(bounds.DrainMs) * time.Millisecond,
			Grace:              time.Duration(bounds.GraceS * float64(time.Second)),
			ConfigurationApply: time.Duration(bounds.ConfigApplyMs) * time.Millisecond,
			EvacuationApply:    time.Duration(bounds.EvacuateMs) * time.Millisecond, ColdLimit: bounds.ColdLimit(),
		},
	}
	r.publishRegions()
	r.record.Residencies = r.record.Restrictions[0].Residencies
	return r
}

func (r *run) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(r.options.Output, format+"\n", values...)
}

func (r *run) execute() error {
	ctx, cancel := context.WithCancel(context.Background())
	r.context = ctx
	r.startCallers(ctx, 0)
	err := r.runSchedule()
	cancel()
	r.callerGroup.Wait()
	if err != nil {
		return err
	}
	return r.report()
}

// startCallers starts callers in every zone, numbered from one on, that last as long as a context.
func (r *run) startCallers(ctx context.Context, first int) {
	for zone := range r.site.Options.Zones {
		for caller := first; caller < first+callersPerZone; caller++ {
			random := rand.New(rand.NewPCG(r.options.Seed, callerSeedStream+uint64(zone+caller*r.site.Options.Zones)))
			r.callerGroup.Go(func() { r.callers.run(ctx, zone, caller, random) })
		}
	}
}

// burst doubles the callers for a time.
func (r *run) burst(lasts time.Duration) {
	r.bursts++
	ctx, cancel := context.WithTimeout(r.context, lasts)
	r.startCallers(ctx, r.bursts*callersPerZone)
	r.schedule(lasts, func() error { cancel(); return nil })
}

// runSchedule plays the schedule, lets the fleet settle, and counts what it then serves.
func (r *run) runSchedule() error {
	began := time.Now()
	for _, one := range GenerateSchedule(r.options.Seed, r.options.Duration, r.site.Options.Zones, r.site.Options.ModelServers, r.options.Kinds) {
		r.timeline = append(r.timeline, step{at: began.Add(one.At), do: func() error {
			r.faultCounts[one.Kind]++
			return r.inject(one)
		}})
	}
	r.schedule(r.options.Duration, func() error { return nil })
	for pause := progressInterval; pause < r.options.Duration; pause += progressInterval {
		r.schedule(pause, func() error { r.printProgress(began); return nil })
	}
	for pause := r.checkInterval(); pause < r.options.Duration; pause += r.checkInterval() {
		r.schedule(pause, func() error { return r.checkSoFar() })
	}
	if err := r.runTimeline(); err != nil {
		return err
	}
	r.schedule(settleTime, func() error { return nil })
	if err := r.runTimeline(); err != nil {
		return err
	}
	counted := time.Now()
	time.Sleep(finalPeriod)
	r.checkRecovery(counted)
	return nil
}

// runTimeline does what is on the timeline until nothing is left.
func (r *run) runTimeline() error {
	for len(r.timeline) > 0 {
		next := r.timeline[0]
		r.timeline = r.timeline[1:]
		time.Sleep(time.Until(next.at))
		if err := next.do(); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) printProgress(began time.Time) {
	struck := 0
	for _, count := range r.faultCounts {
		struck += count
	}
	r.printf("%4.0f s: %d faults, %d requests", time.Since(began).Seconds(), struck, len(r.callers.allAttempts()))
}

// checkInterval is how often the judge looks.
func (r *run) checkInterval() time.Duration {
	return max(minCheckInterval, r.options.Duration/maxChecks)
}

// checkSoFar judges what was seen so far and prints what is new.
func (r *run) checkSoFar() error {
	r.collect()
	for _, one := range append(r.violations, Check(r.record)...) {
		r.printViolation(one)
	}
	return r.checkProcesses()
}

// collect takes over what callers and servers have seen.
func (r *run) collect() {
	// What callers saw comes first: each request of theirs has then left its traces at servers.
	r.record.Attempts, r.record.CrashSenders = r.callers.allAttempts(), r.callers.allCrashSenders()
	r.record.Crashes = r.site.Ends()
	r.record.Runs, r.record.Arrivals, r.record.Deliveries = r.site.Ledger.Runs(), r.site.Ledger.Arrivals(), r.site.Ledger.Deliveries()
	r.record.Notices = r.site.Ledger.Asks()
}

// printViolation prints a violation once.
func (r *run) printViolation(one Violation) {
	if r.printed[one] {
		return
	}
	r.printed[one] = true
	r.printf("  seed %d, %s: %s, request %q: %s", r.options.Seed, one.At.Format("15:04:05.000"), one.Guarantee, one.Request, one.Detail)
}

// checkProcesses notes processes that have ended by themselves, and starts them again.
func (r *run) checkProcesses() error {
	for zone := range r.site.Options.Zones {
		for role, count := range map[string]int{site.RoleEntry: r.site.Options.Entries, site.RoleAgent: r.site.Options.ModelServers} {
			for index := range count {
				name := launch.SiteProcessName(role, zone, index)
				if r.busy[name] || !r.fleet.Group.WaitExit(name, exitPollTimeout) {
					continue
				}
				r.violations = append(r.violations, Violation{Guarantee: NoUnexpectedExit, At: time.Now(), Detail: name + " has ended"})
				if err := r.fleet.Restart(role, zone, index); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// checkRecovery counts the requests since a moment at which all faults are long over.
func (r *run) checkRecovery(since time.Time) {
	total, served := 0, 0
	for _, attempt := range r.callers.allAttempts() {
		if attempt.Sent.After(since) {
			total++
			if attempt.Status == 200 && attempt.Correct {
				served++
			}
		}
	}
	if total == 0 || float64(served) < minFinalRatio*float64(total) {
		r.violations = append(r.violations, Violation{Guarantee: RecoveryInTime, At: since, Detail: fmt.Sprintf("%d of %d requests served after all faults", served, total)})
	}
}

// report judges the whole run and prints it.
func (r *run) report() error {
	if err := r.checkProcesses(); err != nil {
		return err
	}
	r.collect()
	found := append(r.violations, Check(r.record)...)
	answered, refused := 0, 0
	for _, attempt := range r.record.Attempts {
		switch {
		case attempt.Status == 200 && attempt.Correct:
			answered++
		case meansNotExecuted(attempt.Status):
			refused++
		}
	}
	for _, kind := range Kinds {
		if count := r.faultCounts[kind]; count > 0 {
			r.printf("  %-24s %d", kind, count)
		}
	}
	r.printf("requests checked: %d answered, %d refused, %d failed; %d arrivals and %d runs at servers", answered, refused,
		len(r.record.Attempts)-answered-refused, len(r.record.Arrivals), len(r.record.Runs))
	r.printf("cold servers received up to %d requests in a second, and bear %g", r.site.Ledger.MostWhileCold(), r.record.ColdLimit)
	r.printf("violations: %d", len(found))
	for _, one := range found {
		r.printViolation(one)
	}
	if len(found) > 0 {
		return &fault.GuaranteeViolated{Guarantee: string(found[0].Guarantee), Detail: found[0].Detail}
	}
	return nil
}
