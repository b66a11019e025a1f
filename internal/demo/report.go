package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"pinevane.example/pinevane/internal/emulator"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/promise"
	"pinevane.example/pinevane/internal/weights"
	"pinevane.example/pinevane/internal/workload"
)

// Report is the result of a demo.
type Report struct {
	Deployment string `json:"deployment"`
	Machines   int    `json:"machines"`
	Live       int    `json:"live"`
	Chunks     int    `json:"chunks"`
	// FirstLive, HalfLive and AllLive are the times from publication until live, in seconds.
	FirstLive float64 `json:"first_live_seconds"`
	HalfLive  float64 `json:"half_live_seconds"`
	AllLive   float64 `json:"all_live_seconds"`
	// LowerBound is the time that a link needs to transfer one copy, in seconds.
	LowerBound   float64 `json:"lower_bound_seconds"`
	Ratio        float64 `json:"ratio_to_lower_bound"`
	OriginBytes  int64   `json:"origin_bytes"`
	OriginCopies float64 `json:"origin_copies"`
	// MixedOrPartial counts the answers from incomplete weights or from several versions.
	MixedOrPartial int                 `json:"mixed_or_partial_served"`
	Requests       workload.Summary    `json:"requests"`
	Violations     []promise.Violation `json:"violations"`
}

func (d *demo) originBytes() (int64, error) {
	var record emulator.OriginRecord
	err := d.fleet.Get(context.Background(), "http://"+d.fleet.PlatformAddress()+"/records", &record)
	return record.SentBytes, err
}

// report verifies the guarantees and returns the report of the run.
func (d *demo) report(times []time.Duration, originBytes int64) (*Report, error) {
	results := d.recorder.Results()
	calls, generations, err := d.executionCounts()
	if err != nil {
		return nil, err
	}
	violations := promise.Check(results, calls, generations)
	for _, result := range results {
		if !result.Answered && result.Execution == fault.ExecutionUnknown {
			violations = append(violations, promise.Violation{
				Promise: promise.PlannedStopCutsNothing, Request: result.ID, Detail: "ended as " + string(result.Reason),
			})
		}
	}
	next := d.versions[1]
	report := &Report{
		Deployment: d.deployment.Name, Machines: len(d.machines(external.RoleAgent, true)), Live: len(times), Chunks: next.ChunkCount(),
		FirstLive: times[0].Seconds(), HalfLive: times[len(times)/2].Seconds(), AllLive: times[len(times)-1].Seconds(),
		LowerBound:  float64(next.Bytes) / (linkRate * d.linkFraction()),
		OriginBytes: originBytes, OriginCopies: float64(originBytes) / float64(next.Bytes),
		Requests: workload.Summarize(results), Violations: violations,
	}
	report.Ratio = report.AllLive / report.LowerBound
	for _, violation := range violations {
		if violation.Promise == promise.WholeVersion {
			report.MixedOrPartial++
		}
	}
	return report, nil
}

// maxListedViolations is the maximum number of violations that are printed.
const maxListedViolations = 10

func (r *Report) print(out io.Writer, versions []weights.Synthetic) {
	line := func(format string, arguments ...any) { _, _ = fmt.Fprintf(out, format+"\n", arguments...) }
	line("\nrollout of %s %s to %d replicas", versions[1].Model, versions[1].Version, r.Live)
	line("  time until live: first %.2f s, half %.2f s, all %.2f s (a link needs %.2f s for one copy)", r.FirstLive, r.HalfLive, r.AllLive, r.LowerBound)
	line("  origin: %.1f MB drawn, %.2f copies", megabytes(r.OriginBytes), r.OriginCopies)
	line("requests: %d, answered %d, not-run %d, unknown %d, wrong %d",
		r.Requests.Requests, r.Requests.Answered, r.Requests.NotRun, r.Requests.Unknown, r.Requests.Wrong)
	for _, version := range versions[:2] {
		line("  answers by version %s: %d", version.Version, r.Requests.Versions[version.Version])
	}
	for reason, count := range r.Requests.Reasons {
		line("  refused as %s: %d", reason, count)
	}
	line("guarantees verified from the emulators' records: %d violations", len(r.Violations))
	for _, violation := range r.Violations[:min(len(r.Violations), maxListedViolations)] {
		line("  %s: request %s: %s", violation.Promise, violation.Request, violation.Detail)
	}
}

// check returns a *fault.GuaranteeViolated if a guarantee was violated or a version answered no
// request.
func (r *Report) check(versions []weights.Synthetic) error {
	if len(r.Violations) > 0 {
		return &fault.GuaranteeViolated{Guarantee: string(r.Violations[0].Promise), Detail: r.Violations[0].Detail}
	}
	for _, version := range versions[:2] {
		if r.Requests.Versions[version.Version] == 0 {
			return &fault.GuaranteeViolated{Guarantee: "rollout", Detail: "version " + version.Version + " answered no request"}
		}
	}
	return nil
}

func megabytes[T int64 | int](bytes T) float64 { return float64(bytes) / (1 << 20) }

// executionCounts returns how often each request was executed by the back ends.
func (d *demo) executionCounts() (calls, generations promise.Runs, err error) {
	calls, generations = promise.Runs{}, promise.Runs{}
	for _, machine := range d.fleet.Machines {
		if machine.Role != external.RoleAgent {
			continue
		}
		url := "http://" + machine.BackEndAddress() + "/records"
		if machine.Service != "" {
			var runs map[string]int
			if err := d.fleet.Get(context.Background(), url, &runs); err != nil {
				return nil, nil, err
			}
			for id, count := range runs {
				calls[id] += count
			}
			continue
		}
		var started []emulator.GenerationRecord
		if err := d.fleet.Get(context.Background(), url, &started); err != nil {
			return nil, nil, err
		}
		for _, record := range started {
			generations[record.ID]++
		}
	}
	return calls, generations, nil
}
