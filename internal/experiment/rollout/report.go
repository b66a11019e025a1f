package rollout

import (
	"encoding/json"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/internal/fault"
)

// The size of a plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// slowStrategyLimit is the product of machines and chunks above which a report omits star
// and chain, which may take one slot for each machine and chunk.
const slowStrategyLimit = 100_000

// WriteReport simulates every strategy with the same options and writes their
// results, completion curves and origin copies to a directory.
func WriteReport(directory string, options Options) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return &fault.Unavailable{Target: directory, Operation: "create", Cause: err}
	}
	var results []Result
	for _, strategy := range dissemination.Strategies {
		slow := strategy == dissemination.StrategyStar || strategy == dissemination.StrategyChain
		if slow && options.Machines*options.Chunks > slowStrategyLimit {
			continue
		}
		options.Strategy = strategy
		results = append(results, Simulate(options))
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return &fault.Unavailable{Target: "report", Operation: "encode", Cause: err}
	}
	if err := os.WriteFile(filepath.Join(directory, "results.json"), data, 0o644); err != nil {
		return &fault.Unavailable{Target: directory, Operation: "write", Cause: err}
	}
	if err := plotCurves(filepath.Join(directory, "completion.png"), results); err != nil {
		return err
	}
	return plotCopies(filepath.Join(directory, "origin-copies.png"), results)
}

func plotCurves(path string, results []Result) error {
	chart := plot.New()
	chart.Title.Text = "Machines complete"
	chart.X.Label.Text = "slots"
	chart.Y.Label.Text = "share"
	var lines []any
	for _, result := range results {
		points := make(plotter.XYs, len(result.Curve))
		for i, fraction := range result.Curve {
			points[i].X = result.CompletionSlots * float64(i) / curvePoints
			points[i].Y = fraction
		}
		lines = append(lines, string(result.Strategy), points)
	}
	if err := plotutil.AddLines(chart, lines...); err != nil {
		return &fault.Unavailable{Target: path, Operation: "plot", Cause: err}
	}
	return save(chart, path)
}

func plotCopies(path string, results []Result) error {
	chart := plot.New()
	chart.Title.Text = "Copies drawn from the origin"
	chart.Y.Label.Text = "copies"
	values := make(plotter.Values, 0, len(results))
	names := make([]string, 0, len(results))
	for _, result := range results {
		values = append(values, result.OriginCopies)
		names = append(names, string(result.Strategy))
	}
	bars, err := plotter.NewBarChart(values, vg.Points(30))
	if err != nil {
		return &fault.Unavailable{Target: path, Operation: "plot", Cause: err}
	}
	chart.Add(bars)
	chart.NominalX(names...)
	return save(chart, path)
}

func save(chart *plot.Plot, path string) error {
	if err := chart.Save(plotWidth, plotHeight, path); err != nil {
		return &fault.Unavailable{Target: path, Operation: "write", Cause: err}
	}
	return nil
}
