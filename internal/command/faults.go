package command

import (
	"fmt"
	"slices"

	"pinevane.example/pinevane/internal/experiment/faults"
	"pinevane.example/pinevane/internal/fault"
)

type faultsCommand struct {
	Schedules int64  `long:"schedules" default:"2000" description:"number of schedules, 1 to 10^6"`
	Seed      int64  `long:"seed" default:"1" description:"seed of every random choice, 0 to 2^53"`
	Faults    int64  `long:"faults" default:"10" description:"faults in a schedule, 0 to 200"`
	Break     string `long:"break" description:"disable one safeguard: tombstones, fence, verify, monotonic, escrow, pinning or drain"`
	JSON      bool   `long:"json" description:"print one JSON object"`
}

// Execute runs the command.
func (c *faultsCommand) Execute([]string) error {
	if err := checkInteger("--schedules", c.Schedules, 1, 1_000_000, "schedules"); err != nil {
		return err
	}
	if err := checkInteger("--seed", c.Seed, 0, 1<<53, ""); err != nil {
		return err
	}
	if err := checkInteger("--faults", c.Faults, 0, 200, "faults"); err != nil {
		return err
	}
	if c.Break != "" && !slices.Contains(faults.Safeguards, faults.Safeguard(c.Break)) {
		return &fault.InvalidSetting{Flag: "--break", Value: c.Break, Allowed: "tombstones, fence, verify, monotonic, escrow, pinning or drain"}
	}
	result := faults.Run(faults.Options{
		Schedules: int(c.Schedules), Seed: uint64(c.Seed), Break: faults.Safeguard(c.Break), FaultsPerSchedule: int(c.Faults),
	})
	if c.JSON {
		if err := printJSON(result); err != nil {
			return err
		}
	} else {
		fmt.Printf("%d schedules, %d requests, %.3f answered, violations: %v\n", result.Schedules, result.Requests, result.AnsweredShare, result.Violations)
	}
	if result.First == nil || c.Break != "" {
		return nil
	}
	return &fault.PromiseBroken{Promise: string(result.First.Promise), Detail: fmt.Sprintf("seed %d: %s with %v", result.First.Seed, result.First.Detail, result.First.Faults)}
}
