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

// Options configures a soak.
type Options struct {
	Executable string
	// LogDirectory receives one log file for each process and is kept after the run.
	LogDirectory string
	Seed         uint64
	Duration     time.Duration
	// Kinds are the fault kinds that the schedule may contain.
	Kinds  []Kind
	Output io.Writer
}

// Timing and sizes of a run.
const (
	firstNetwork     = 200
	networks         = 50
	readyTimeout     = 20 * time.Second
	progressInterval = 30 * time.Second
	// minCheckInterval is the shortest time between checks while the fleet runs, and maxChecks
	// bounds their number in a run, since each check goes through the whole record.
	minCheckInterval = 5 * time.Second
	maxChecks        = 100
	// exitPollTimeout is how long a check waits for the exit of a process.
	exitPollTimeout = time.Millisecond
	// callerSeedStream separates the callers' random numbers from others of the same seed.
	callerSeedStream = 100
	// settleTime is the time after the last fault until the fleet must serve again.
	settleTime = 12 * time.Second
	// finalPeriod is how long requests are counted after that, minFinalRatio the fraction of
	// them that must be answered.
	finalPeriod   = 3 * time.Second
	minFinalRatio = 0.95
)

func siteOptions() site.Options {
	return site.Options{
		Network: site.FreeNetwork(firstNetwork, networks, os.Getpid()), Zones: 3, Entries: 2, ModelServers: 3, PlainServers: 1,
		Weights:   site.Weights{Model: "dialect", Pieces: 48, PieceBytes: 24576, Layers: 16},
		EventTime: 10 * time.Millisecond, Slots: 16,
		VersionMs: 8000, ConfigApplyMs: 2000, DrainMs: 3000, GraceS: 8, BudgetSlack: 100, TimeoutMs: 6000,
		// Entries act on an evacuation as soon as they receive it, so 3 s of the platform's 5 s
		// must be enough in a fleet this small. The limit of a cold server, 15 requests a
		// second, is above the 12 that normal load sends to each server and below the 24 that
		// a burst sends, or the streams of two zones to the servers of one.
		EvacuateMs: 3000, ColdPerS: 8, ColdStartS: 3, ColdOvershoot: 1.5, ColdSlack: 3,
	}
}

// run is the state of one soak.
type run struct {
	options Options
	fleet   *launch.SiteFleet
	site    *site.Site
	callers *callers

	// timeline holds the pending steps. It and the fields below are accessed only by the
	// run's own goroutine.
	timeline []step
	// busy holds the names of processes, servers, zones and lists of regions that a fault has
	// changed and not yet restored, so that other faults can skip them.
	busy        map[string]bool
	version     uint64
	record      Record
	violations  []Violation
	faultCounts map[Kind]int
	allowed     site.AllowedRegions
	// printed are the violations that have been printed.
	printed map[Violation]bool
	// callerGroup waits for the callers, which stop with their context.
	callerGroup sync.WaitGroup
	context     context.Context
	// bursts counts the bursts of callers, whose numbers follow those of the permanent ones.
	bursts int
	// crashFaults counts the faults that send requests which crash servers; restarted are the
	// crashed servers that have been restarted.
	crashFaults int
	restarted   map[string]bool
	// probedRoutes counts the routes that were published after restores of the store.
	probedRoutes int
}

// step is an action scheduled for a time.
type step struct {
	at time.Time
	do func() error
}

// schedule adds an action to the timeline, to run after a delay.
func (r *run) schedule(delay time.Duration, do func() error) {
	r.timeline = append(r.timeline, step{at: time.Now().Add(delay), do: do})
	slices.SortStableFunc(r.timeline, func(a, b step) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
}

// Run executes the fault schedule of a seed and reports the violations. A violated guarantee
// is returned as a *fault.GuaranteeViolated.
func Run(options Options) error {
	fleet, err := launch.NewSiteFleet(options.Executable, options.LogDirectory, fleetOptions(options.Kinds))
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

// newRun prepares a run on a fleet whose processes have not been started.
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
			RetryLimit: bounds.RetryLimit(),
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
	if slices.ContainsFunc(r.options.Kinds, func(kind Kind) bool { return slices.Contains(PauseKinds, kind) }) {
		r.callers.startOnConnections(ctx, r.options.Seed, &r.callerGroup)
	}
	err := r.runSchedule()
	cancel()
	r.callerGroup.Wait()
	if err != nil {
		return err
	}
	return r.report()
}

// startCallers starts callers in every zone, numbered from first, that stop with a context.
func (r *run) startCallers(ctx context.Context, first int) {
	for zone := range r.site.Options.Zones {
		for caller := first; caller < first+callersPerZone; caller++ {
			random := rand.New(rand.NewPCG(r.options.Seed, callerSeedStream+uint64(zone+caller*r.site.Options.Zones)))
			r.callerGroup.Go(func() { r.callers.run(ctx, zone, caller, random) })
		}
	}
}

// burst doubles the number of callers for a time.
func (r *run) burst(duration time.Duration) {
	r.bursts++
	ctx, cancel := context.WithTimeout(r.context, duration)
	r.startCallers(ctx, r.bursts*callersPerZone)
	r.schedule(duration, func() error { cancel(); return nil })
}

// runSchedule injects the scheduled faults, lets the fleet settle and checks its recovery.
func (r *run) runSchedule() error {
	start := time.Now()
	for _, scheduled := range GenerateSchedule(r.options.Seed, r.options.Duration, r.site.Options.Zones, r.site.Options.ModelServers, r.options.Kinds) {
		r.timeline = append(r.timeline, step{at: start.Add(scheduled.At), do: func() error {
			r.faultCounts[scheduled.Kind]++
			return r.inject(scheduled)
		}})
	}
	r.schedule(r.options.Duration, func() error { return nil })
	for delay := progressInterval; delay < r.options.Duration; delay += progressInterval {
		r.schedule(delay, func() error { r.printProgress(start); return nil })
	}
	for delay := r.checkInterval(); delay < r.options.Duration; delay += r.checkInterval() {
		r.schedule(delay, func() error { return r.checkSoFar() })
	}
	if err := r.runTimeline(); err != nil {
		return err
	}
	r.schedule(settleTime, func() error { return nil })
	if err := r.runTimeline(); err != nil {
		return err
	}
	settled := time.Now()
	time.Sleep(finalPeriod)
	r.checkRecovery(settled)
	return nil
}

// runTimeline runs the steps of the timeline until none is left.
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

func (r *run) printProgress(start time.Time) {
	injected := 0
	for _, count := range r.faultCounts {
		injected += count
	}
	r.printf("%4.0f s: %d faults, %d requests", time.Since(start).Seconds(), injected, len(r.callers.allAttempts()))
}

// checkInterval returns the time between checks.
func (r *run) checkInterval() time.Duration {
	return max(minCheckInterval, r.options.Duration/maxChecks)
}

// checkSoFar checks the record so far and prints new violations.
func (r *run) checkSoFar() error {
	r.collect()
	for _, violation := range append(r.violations, Check(r.record)...) {
		r.printViolation(violation)
	}
	return r.checkProcesses()
}

// collect copies what callers and servers have recorded.
func (r *run) collect() {
	// The callers' records are read first, so that the servers' records of each of their requests
	// are complete.
	r.record.Attempts, r.record.CrashSenders = r.callers.allAttempts(), r.callers.allCrashSenders()
	r.record.Crashes = r.site.Crashes()
	r.record.Runs, r.record.Arrivals, r.record.Deliveries = r.site.Requests.Runs(), r.site.Requests.Arrivals(), r.site.Requests.Deliveries()
	r.record.Notices = r.site.Requests.Notices()
}

// printViolation prints a violation unless it was printed before.
func (r *run) printViolation(violation Violation) {
	if r.printed[violation] {
		return
	}
	r.printed[violation] = true
	r.printf("  seed %d, %s: %s, request %q: %s", r.options.Seed, violation.At.Format("15:04:05.000"), violation.Guarantee, violation.Request, violation.Detail)
}

// checkProcesses records processes that have exited by themselves and restarts them.
func (r *run) checkProcesses() error {
	for zone := range r.site.Options.Zones {
		for role, count := range map[string]int{site.RoleEntry: r.site.Options.Entries, site.RoleAgent: r.site.Options.ModelServers} {
			for index := range count {
				name := launch.SiteProcessName(role, zone, index)
				if r.busy[name] || !r.fleet.Group.WaitExit(name, exitPollTimeout) {
					continue
				}
				r.violations = append(r.violations, Violation{Guarantee: NoUnexpectedExit, At: time.Now(), Detail: name + " has exited"})
				if err := r.fleet.Restart(role, zone, index); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// checkRecovery checks the ratio of served requests since a time at which all faults are long over.
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
		r.violations = append(r.violations, Violation{Guarantee: RecoveryInTime, At: since, Detail: fmt.Sprintf("%d of %d requests served after the last fault", served, total)})
	}
}

// report checks the whole run and prints the result.
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
	for _, kind := range NamedKinds {
		if count := r.faultCounts[kind]; count > 0 {
			r.printf("  %-24s %d", kind, count)
		}
	}
	r.printf("requests checked: %d answered, %d refused, %d failed; %d arrivals and %d runs at servers", answered, refused,
		len(r.record.Attempts)-answered-refused, len(r.record.Arrivals), len(r.record.Runs))
	excused := r.record.excused()
	for _, reason := range excuses {
		if count := excused[reason]; count > 0 {
			r.printf("  %d ended with neither an answer nor a refusal, which is no violation: %s", count, reason)
		}
	}
	r.printf("cold servers received up to %d requests in a second, limit %g", r.site.Requests.MaxWhileCold(), r.record.ColdLimit)
	r.printf("violations: %d", len(found))
	for _, violation := range found {
		r.printViolation(violation)
	}
	if len(found) > 0 {
		return &fault.GuaranteeViolated{Guarantee: string(found[0].Guarantee), Detail: found[0].Detail}
	}
	return nil
}
