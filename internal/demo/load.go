package demo

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pinevane.example/pinevane/internal/deployment"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/promise"
	"pinevane.example/pinevane/internal/workload"
)

// Disturbance is what happens during a load test.
type Disturbance string

// The disturbances.
const (
	DisturbNothing  Disturbance = ""
	DisturbRollout  Disturbance = "rollout"
	DisturbZoneLoss Disturbance = "zone-loss"
	DisturbDrain    Disturbance = "drain"
)

// LoadOptions configures a load test.
type LoadOptions struct {
	Options
	// Rate is the request rate per second, with Poisson arrivals.
	Rate     float64
	Duration time.Duration
	During   Disturbance
	Policy   string
	Seed     uint64
}

// LoadReport is the result of a load test. Latencies are measured from the time at which a request
// was due, not from the time at which it was sent.
type LoadReport struct {
	Rate     float64     `json:"rate"`
	Seconds  float64     `json:"seconds"`
	During   Disturbance `json:"during"`
	Policy   string      `json:"policy"`
	Requests int         `json:"requests"`
	Answered int         `json:"answered"`
	NotRun   int         `json:"not_run"`
	Errors   int         `json:"errors"`
	Wrong    int         `json:"wrong"`
	// CutByDeadEntry counts the requests whose entry was killed.
	CutByDeadEntry int `json:"cut_by_dead_entry"`
	// Added is the latency that both hops add to a service call, compared with direct calls to the
	// emulated services in the same run.
	AddedP50      float64              `json:"added_p50_ms"`
	AddedP99      float64              `json:"added_p99_ms"`
	DirectP50     float64              `json:"direct_p50_ms"`
	DirectP99     float64              `json:"direct_p99_ms"`
	FirstTokenP50 float64              `json:"first_token_p50_ms"`
	FirstTokenP95 float64              `json:"first_token_p95_ms"`
	BetweenP95    float64              `json:"between_tokens_p95_ms"`
	Violations    []promise.Violation  `json:"violations"`
	Reasons       map[fault.Reason]int `json:"refusals_by_reason"`
}

// directRate is the rate of direct calls to the services per second.
const directRate = 50

// histogramLimit is the highest value that a histogram can distinguish, in microseconds.
const histogramLimit = 120_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramLimit, 3) }

// loadRun is a running load test.
type loadRun struct {
	*demo
	options  LoadOptions
	sequence atomic.Int64

	mutex          sync.Mutex
	calls          *hdrhistogram.Histogram
	direct         *hdrhistogram.Histogram
	firstToken     *hdrhistogram.Histogram
	betweenTokens  *hdrhistogram.Histogram
	cutByDeadEntry int
}

// RunLoad starts a fleet and loads it with open-loop arrivals.
func RunLoad(options LoadOptions) (*LoadReport, error) {
	options.EntryFlags = []string{"--policy", options.Policy}
	d, err := prepare(options.Options)
	if err != nil {
		return nil, err
	}
	defer d.fleet.Stop()
	if err := d.start(); err != nil {
		return nil, err
	}
	run := &loadRun{demo: d, options: options, calls: newHistogram(), direct: newHistogram(), firstToken: newHistogram(), betweenTokens: newHistogram()}
	if err := run.run(); err != nil {
		return nil, err
	}
	return run.summarize()
}

func (r *loadRun) run() error {
	var work sync.WaitGroup
	end := time.Now().Add(r.options.Duration)
	work.Go(func() { r.generateArrivals(r.options.Rate, end, &work, r.request) })
	work.Go(func() { r.generateArrivals(directRate, end, &work, r.directCall) })
	time.Sleep(r.options.Duration / 4)
	err := r.disturb()
	work.Wait()
	return err
}

// generateArrivals calls a function at Poisson-distributed times until the end.
func (r *loadRun) generateArrivals(perSecond float64, end time.Time, work *sync.WaitGroup, do func(*rand.Rand, time.Time)) {
	generator := rand.New(rand.NewPCG(r.options.Seed, uint64(perSecond)))
	for due := time.Now(); due.Before(end); {
		due = due.Add(time.Duration(generator.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(due))
		seed := generator.Uint64()
		work.Go(func() { do(rand.New(rand.NewPCG(seed, 1)), due) })
	}
}

func (r *loadRun) request(generator *rand.Rand, due time.Time) {
	request := r.nextRequest(generator, r.sequence.Add(1))
	address := r.pickEntry(generator)
	result := r.client.Do(context.Background(), address, request)
	delay := result.Started.Sub(due)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, killed := r.stopped.Load(address); killed && r.options.During == DisturbZoneLoss && !result.Answered && result.Execution == fault.ExecutionUnknown {
		r.cutByDeadEntry++
		return
	}
	r.recorder.Add(result)
	if !result.Answered {
		return
	}
	if request.Kind == workload.KindCall {
		recordDuration(r.calls, delay+result.Duration)
	}
	if request.Kind == workload.KindStream {
		recordDuration(r.firstToken, delay+result.FirstToken)
		for _, gap := range result.Gaps {
			recordDuration(r.betweenTokens, gap)
		}
	}
}

func recordDuration(histogram *hdrhistogram.Histogram, duration time.Duration) {
	// A value over the limit is recorded as the limit.
	_ = histogram.RecordValue(min(max(1, duration.Microseconds()), histogramLimit))
}

// directCall calls a plain service without going through the entries and agents.
func (r *loadRun) directCall(generator *rand.Rand, due time.Time) {
	services := r.machines(external.RoleAgent, false)
	machine := services[generator.IntN(len(services))]
	if _, killed := r.stopped.Load(machine.BackEndAddress()); killed {
		return
	}
	if err := r.client.CallDirectly(context.Background(), machine.BackEndAddress()); err != nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	recordDuration(r.direct, time.Since(due))
}

func (r *loadRun) disturb() error {
	switch r.options.During {
	case DisturbRollout:
		_, err := r.rollOut(r.versions[1])
		return err
	case DisturbDrain:
		return r.plannedStops()
	case DisturbZoneLoss:
		return r.loseZone()
	}
	return nil
}

// loseZone kills every process and back end in the last zone.
func (r *loadRun) loseZone() error {
	zone := r.deployment.Zones[len(r.deployment.Zones)-1].Name
	r.printf("zone %s is lost", zone)
	for _, machine := range r.fleet.Machines {
		if machine.Zone != zone {
			continue
		}
		if machine.Role == external.RoleEntry {
			r.stopped.Store(machine.Address, true)
		} else {
			r.stopped.Store(machine.BackEndAddress(), true)
		}
	}
	for _, machine := range r.fleet.Machines {
		if machine.Zone != zone {
			continue
		}
		for _, name := range processNames(machine) {
			if err := r.fleet.Signal(name, os.Kill); err != nil {
				return err
			}
		}
	}
	return nil
}

func processNames(machine deployment.Machine) []string {
	if machine.Role == external.RoleEntry {
		return []string{machine.ID}
	}
	return []string{machine.ID, machine.ID + "-back-end"}
}

const (
	median       = 50
	percentile95 = 95
	percentile99 = 99
)

func percentileMilliseconds(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtQuantile(percentile)) / 1000
}

func (r *loadRun) summarize() (*LoadReport, error) {
	results := r.recorder.Results()
	summary := workload.Summarize(results)
	report := &LoadReport{
		Rate: r.options.Rate, Seconds: r.options.Duration.Seconds(), During: r.options.During, Policy: r.options.Policy,
		Requests: summary.Requests, Answered: summary.Answered, NotRun: summary.NotRun,
		Errors: summary.Unknown, Wrong: summary.Wrong, CutByDeadEntry: r.cutByDeadEntry, Reasons: summary.Reasons,
		DirectP50: percentileMilliseconds(r.direct, median), DirectP99: percentileMilliseconds(r.direct, percentile99),
		FirstTokenP50: percentileMilliseconds(r.firstToken, median), FirstTokenP95: percentileMilliseconds(r.firstToken, percentile95),
		BetweenP95: percentileMilliseconds(r.betweenTokens, percentile95),
	}
	report.AddedP50 = percentileMilliseconds(r.calls, median) - report.DirectP50
	report.AddedP99 = percentileMilliseconds(r.calls, percentile99) - report.DirectP99
	if r.options.During == DisturbZoneLoss {
		// The records of the lost back ends are gone, so their executions can't be counted.
		return report, nil
	}
	calls, generations, err := r.executionCounts()
	if err != nil {
		return nil, err
	}
	report.Violations = promise.Check(results, calls, generations)
	return report, nil
}
