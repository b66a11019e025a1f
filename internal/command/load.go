package command

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"pinevane.example/pinevane/internal/demo"
	"pinevane.example/pinevane/internal/entry"
	"pinevane.example/pinevane/internal/fault"
)

type loadCommand struct {
	Rate       float64       `long:"rate" default:"400" description:"requests a second, 1 to 5000"`
	Duration   time.Duration `long:"duration" default:"20s" description:"duration of the load, 2s to 1h"`
	During     string        `long:"during" description:"disturbance during the load: rollout, zone-loss or drain; none if omitted"`
	Policy     []string      `long:"policy" default:"two-choices" description:"routing policy of the entries; may be repeated for one run each"`
	Deployment string        `long:"deployment" default:"examples/yaad-voices" description:"directory of a deployment"`
	Seed       int64         `long:"seed" default:"1" description:"seed of arrivals and requests, 0 to 2^53"`
	Baseline   string        `long:"baseline" description:"JSON of an earlier run to compare with"`
	JSON       bool          `long:"json" description:"print JSON"`
}

func (c *loadCommand) check() error {
	if !(c.Rate >= 1 && c.Rate <= 5000) {
		return &fault.InvalidSetting{Flag: "--rate", Value: fmt.Sprint(c.Rate), Allowed: "1 to 5000 requests a second"}
	}
	if err := checkDuration("--duration", c.Duration, 2*time.Second, time.Hour); err != nil {
		return err
	}
	disturbances := []demo.Disturbance{demo.DisturbNothing, demo.DisturbRollout, demo.DisturbZoneLoss, demo.DisturbDrain}
	if !slices.Contains(disturbances, demo.Disturbance(c.During)) {
		return &fault.InvalidSetting{Flag: "--during", Value: c.During, Allowed: "rollout, zone-loss or drain"}
	}
	for _, policy := range c.Policy {
		if !slices.Contains(entry.Policies, entry.Policy(policy)) {
			return &fault.InvalidSetting{Flag: "--policy", Value: policy, Allowed: "two-choices, random, round-robin, least-loaded or affinity"}
		}
	}
	return checkInteger("--seed", c.Seed, 0, 1<<53, "")
}

// Execute runs the command.
func (c *loadCommand) Execute([]string) error {
	if err := c.check(); err != nil {
		return err
	}
	executable, err := executablePath()
	if err != nil {
		return err
	}
	for _, policy := range c.Policy {
		report, err := demo.RunLoad(demo.LoadOptions{
			Options: demo.Options{Executable: executable, Directory: c.Deployment, Output: os.Stderr},
			Rate:    c.Rate, Duration: c.Duration, During: demo.Disturbance(c.During), Policy: policy, Seed: uint64(c.Seed),
		})
		if err != nil {
			return err
		}
		if err := c.print(report); err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			return &fault.GuaranteeViolated{Guarantee: string(report.Violations[0].Promise), Detail: report.Violations[0].Detail}
		}
	}
	return nil
}

func (c *loadCommand) print(report *demo.LoadReport) error {
	if c.Baseline != "" {
		if err := printComparison(c.Baseline, report); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(report)
	}
	fmt.Printf("%s: %d of %d answered, added p50 %.2f ms, p99 %.2f ms, first token p95 %.1f ms, between tokens p95 %.1f ms\n",
		report.Policy, report.Answered, report.Requests, report.AddedP50, report.AddedP99, report.FirstTokenP95, report.BetweenP95)
	return nil
}

// printComparison prints the ratio of each figure to that of an earlier run.
func printComparison(path string, report *demo.LoadReport) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &fault.Unavailable{Target: path, Operation: "read", Cause: err}
	}
	var earlier demo.LoadReport
	if err := json.Unmarshal(data, &earlier); err != nil {
		return &fault.InvalidDocument{Document: path, Path: "document", Reason: err.Error()}
	}
	for _, figure := range []struct {
		name          string
		before, after float64
	}{
		{"added p50", earlier.AddedP50, report.AddedP50},
		{"added p99", earlier.AddedP99, report.AddedP99},
		{"first token p95", earlier.FirstTokenP95, report.FirstTokenP95},
		{"between tokens p95", earlier.BetweenP95, report.BetweenP95},
	} {
		fmt.Fprintf(os.Stderr, "%s: %.2f ms before, %.2f ms now, ratio %.2f\n", figure.name, figure.before, figure.after, figure.after/figure.before)
	}
	return nil
}
