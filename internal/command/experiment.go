package command

import (
	"fmt"
	"math"
	"os"
	"slices"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/internal/demo"
	"pinevane.example/pinevane/internal/experiment/rollout"
	"pinevane.example/pinevane/internal/fault"
)

type experimentCommand struct {
	Rollout rolloutCommand `command:"rollout" description:"Measure how weights reach a fleet, in virtual time or with --real over processes"`
	Load    loadCommand    `command:"load" description:"Load a small fleet over real sockets and compare with calling its back ends directly"`
	Soak    soakCommand    `command:"soak" description:"Run real processes under seeded random faults and verify the guarantees"`
}

type rolloutCommand struct {
	Machines     int64   `long:"machines" default:"233" description:"number of machines, 2 to 20000"`
	Zones        int64   `long:"zones" default:"1" description:"number of zones, 1 to 64"`
	Regions      int64   `long:"regions" default:"1" description:"number of regions, 1 to the number of zones"`
	Chunks       int64   `long:"chunks" default:"256" description:"number of chunks, 1 to 8192"`
	Strategy     string  `long:"strategy" default:"rotated" description:"star, chain, tree, rotated or pull"`
	Duplex       string  `long:"duplex" default:"full" description:"full or half"`
	Dead         float64 `long:"dead" default:"0" description:"fraction of machines that crash during the rollout, 0 to 0.5"`
	Stalled      float64 `long:"stalled" default:"0" description:"fraction of machines whose uplink stalls, 0 to 0.5"`
	Corrupt      float64 `long:"corrupt" default:"0" description:"fraction of transfers that arrive corrupt, 0 to 0.5"`
	StaleList    float64 `long:"stale-list" default:"0" description:"fraction of machines with a stale membership list, 0 to 1"`
	Partition    bool    `long:"partition" description:"disconnect one zone from the others halfway"`
	OriginCopies int64   `long:"origin-copies" default:"1" description:"zones that read each chunk from the origin, 1 to 4"`
	Held         float64 `long:"held" default:"0" description:"fraction of chunks that the machines already store, 0 to 0.99"`
	NoVerify     bool    `long:"no-verify" description:"accept corrupt chunks, to test that the check detects it"`
	Seed         int64   `long:"seed" default:"1" description:"seed of every random choice, 0 to 2^53"`
	Real         bool    `long:"real" description:"run real processes on loopback with shaped rates; machines 3 to 48"`
	Deployment   string  `long:"deployment" default:"examples/yaad-voices" description:"deployment directory for --real"`
	JSON         bool    `long:"json" description:"print one JSON object"`
	Report       string  `long:"report" description:"directory for plots and results of every strategy"`
}

func (c *rolloutCommand) check() error {
	integers := []struct {
		flag      string
		value     int64
		low, high int64
	}{
		{"--machines", c.Machines, 2, 20000}, {"--zones", c.Zones, 1, min(64, c.Machines)}, {"--regions", c.Regions, 1, c.Zones},
		{"--chunks", c.Chunks, 1, 8192}, {"--origin-copies", c.OriginCopies, 1, 4}, {"--seed", c.Seed, 0, 1 << 53},
	}
	for _, integer := range integers {
		if err := checkInteger(integer.flag, integer.value, integer.low, integer.high, ""); err != nil {
			return err
		}
	}
	ratios := []struct {
		flag        string
		value, high float64
	}{
		{"--dead", c.Dead, 0.5}, {"--stalled", c.Stalled, 0.5}, {"--corrupt", c.Corrupt, 0.5}, {"--stale-list", c.StaleList, 1}, {"--held", c.Held, 0.99},
	}
	for _, ratio := range ratios {
		if err := checkRatio(ratio.flag, ratio.value, 0, ratio.high); err != nil {
			return err
		}
	}
	if !slices.Contains(dissemination.Strategies, dissemination.Strategy(c.Strategy)) {
		return &fault.InvalidSetting{Flag: "--strategy", Value: c.Strategy, Allowed: "star, chain, tree, rotated or pull"}
	}
	if c.Duplex != string(rollout.DuplexFull) && c.Duplex != string(rollout.DuplexHalf) {
		return &fault.InvalidSetting{Flag: "--duplex", Value: c.Duplex, Allowed: "full or half"}
	}
	return nil
}

func (c *rolloutCommand) options() rollout.Options {
	return rollout.Options{
		Machines: int(c.Machines), Zones: int(c.Zones), Regions: int(c.Regions), Chunks: int(c.Chunks),
		Strategy: dissemination.Strategy(c.Strategy), Duplex: rollout.Duplex(c.Duplex), Seed: uint64(c.Seed),
		Dead: c.Dead, Stalled: c.Stalled, Corrupt: c.Corrupt, StaleList: c.StaleList, Partition: c.Partition,
		OriginCopies: int(c.OriginCopies), HeldFraction: c.Held, SkipVerification: c.NoVerify,
	}
}

// Execute runs the command.
func (c *rolloutCommand) Execute([]string) error {
	if err := c.check(); err != nil {
		return err
	}
	if c.Real {
		return c.runProcesses()
	}
	result := rollout.Simulate(c.options())
	if c.Report != "" {
		if err := rollout.WriteReport(c.Report, c.options()); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(result)
	}
	fmt.Printf("%s: %d of %d machines live after %.1f slots, %.3f of the lower bound, %.3f origin copies\n",
		result.Strategy, result.Live, result.Machines, result.CompletionSlots, result.Ratio, result.OriginCopies)
	return nil
}

// exampleZones is the number of zones of the example deployments.
const exampleZones = 3

func (c *rolloutCommand) runProcesses() error {
	if err := checkInteger("--machines", c.Machines, exampleZones, 48, "machines with --real"); err != nil {
		return err
	}
	executable, err := executablePath()
	if err != nil {
		return err
	}
	output := os.Stdout
	if c.JSON {
		output = os.Stderr
	}
	perZone := int(math.Ceil(float64(c.Machines) / exampleZones))
	report, err := demo.Run(demo.Options{Executable: executable, Directory: c.Deployment, Output: output, EnginesPerZone: perZone})
	if report != nil && c.JSON {
		if err := printJSON(processResult{Report: report, Strategy: dissemination.StrategyRotated, Seed: c.Seed}); err != nil {
			return err
		}
	}
	return err
}

type processResult struct {
	*demo.Report
	Strategy dissemination.Strategy `json:"strategy"`
	Seed     int64                  `json:"seed"`
}
