package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"pinevane.example/pinevane/internal/fault"
)

// sweepParts are the parts of the whole size that a sweep measures.
var sweepParts = []float64{1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2, 1}

// Slope is a straight line through a figure against the number of processes.
type Slope struct {
	// AtZero is the figure that the line gives for no processes.
	AtZero float64 `json:"at_zero"`
	// PerThousand is by how much it grows for each thousand processes.
	PerThousand float64 `json:"per_thousand_processes"`
	// R2 is the share of the variation that the line explains.
	R2 float64 `json:"r2"`
	// AtWhole is what the line gives at the whole size.
	AtWhole float64 `json:"at_whole"`
}

// SweepResult is a set of measurements and the lines through them.
type SweepResult struct {
	Runs   []*Result        `json:"runs"`
	Slopes map[string]Slope `json:"slopes"`
}

// figures are the values that a sweep fits, by name.
var figures = map[string]func(*Result) float64{
	"entry_cpu_percent_of_core":           func(r *Result) float64 { return r.Roles.Entry.CPU },
	"entry_hollow_cpu_percent_of_core":    func(r *Result) float64 { return r.Roles.Entry.HollowCPU },
	"entry_memory_mb":                     func(r *Result) float64 { return r.Roles.Entry.Memory },
	"entry_control_bytes_per_second":      func(r *Result) float64 { return r.Roles.Entry.Bytes },
	"agent_cpu_percent_of_core":           func(r *Result) float64 { return r.Roles.Agent.CPU },
	"agent_hollow_cpu_percent_of_core":    func(r *Result) float64 { return r.Roles.Agent.HollowCPU },
	"agent_memory_mb":                     func(r *Result) float64 { return r.Roles.Agent.Memory },
	"agent_control_bytes_per_second":      func(r *Result) float64 { return r.Roles.Agent.Bytes },
	"configuration_spread_seconds_max":    func(r *Result) float64 { return r.Configuration.SpreadMax },
	"configuration_calls_per_second":      func(r *Result) float64 { return r.Configuration.CallsPerSecond },
	"configuration_spread_seconds_median": func(r *Result) float64 { return r.Configuration.SpreadMedian },
}

// Sweep measures parts of a size and fits a line to each figure.
func Sweep(options Options, progress io.Writer) (*SweepResult, error) {
	result := &SweepResult{Slopes: map[string]Slope{}}
	for _, part := range sweepParts {
		scaled := options
		scaled.Entries = max(options.Zones, int(float64(options.Entries)*part))
		scaled.Agents = max(options.Zones, int(float64(options.Agents)*part))
		run, err := Run(scaled)
		if err != nil {
			return nil, err
		}
		_, _ = fmt.Fprintf(progress, "%d entries, %d agents: done\n", run.Entries, run.Agents)
		result.Runs = append(result.Runs, run)
	}
	sizes := make([]float64, 0, len(result.Runs))
	for _, run := range result.Runs {
		sizes = append(sizes, float64(run.Entries+run.Agents))
	}
	for name, figure := range figures {
		result.Slopes[name] = fit(sizes, result.Runs, figure)
	}
	return result, nil
}

func fit(sizes []float64, runs []*Result, figure func(*Result) float64) Slope {
	values := make([]float64, 0, len(runs))
	for _, run := range runs {
		values = append(values, figure(run))
	}
	atZero, slope := stat.LinearRegression(sizes, values, nil, false)
	const thousand = 1000
	return Slope{
		AtZero: atZero, PerThousand: slope * thousand,
		R2:      stat.RSquared(sizes, values, nil, atZero, slope),
		AtWhole: atZero + slope*sizes[len(sizes)-1],
	}
}

// Size of a plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// WriteReport writes a sweep and a plot of each figure to a directory.
func WriteReport(directory string, sweep *SweepResult) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return &fault.Unavailable{Target: directory, Operation: "create", Cause: err}
	}
	data, err := json.MarshalIndent(sweep, "", "  ")
	if err != nil {
		return &fault.Unavailable{Target: "report", Operation: "encode", Cause: err}
	}
	if err := os.WriteFile(filepath.Join(directory, "sweep.json"), data, 0o644); err != nil {
		return &fault.Unavailable{Target: directory, Operation: "write", Cause: err}
	}
	for name, figure := range figures {
		if err := plotFigure(filepath.Join(directory, name+".png"), name, sweep.Runs, figure); err != nil {
			return err
		}
	}
	return nil
}

func plotFigure(path, name string, runs []*Result, figure func(*Result) float64) error {
	chart := plot.New()
	chart.X.Label.Text = "processes"
	chart.Y.Label.Text = name
	chart.Y.Min = 0
	points := make(plotter.XYs, len(runs))
	for i, run := range runs {
		points[i].X, points[i].Y = float64(run.Entries+run.Agents), figure(run)
	}
	if err := plotutil.AddLinePoints(chart, name, points); err != nil {
		return &fault.Unavailable{Target: path, Operation: "plot", Cause: err}
	}
	if err := chart.Save(plotWidth, plotHeight, path); err != nil {
		return &fault.Unavailable{Target: path, Operation: "write", Cause: err}
	}
	return nil
}
