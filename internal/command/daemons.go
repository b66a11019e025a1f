package command

import (
	"math"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"pinevane.example/pinevane/internal/agent"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/entry"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/forward"
)

// Memory settings of a daemon. About 17 MiB of the resident memory are mapped pages of the binary
// itself, so the heap must stay small.
const (
	// memoryLimitBytes is the soft memory limit of the Go runtime unless GOMEMLIMIT is set.
	memoryLimitBytes = 24 << 20
	// heapGrowthPercent is the GC percentage unless GOGC is set. It trades CPU time, which a
	// daemon has to spare, for a smaller heap.
	heapGrowthPercent = 40
)

// limitMemory keeps the memory of a daemon within its share of a machine.
func limitMemory() { limitMemoryWithGCPercent(heapGrowthPercent) }

func limitMemoryWithGCPercent(gcPercent int) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

type entryCommand struct {
	processFlags
	DefaultDeadline time.Duration  `long:"default-deadline" env:"PINEVANE_DEFAULT_DEADLINE" default:"60s" description:"deadline of a request that sets none, 1s to 24h"`
	MaximumBody     int64          `long:"maximum-body" env:"PINEVANE_MAXIMUM_BODY" default:"1048576" description:"largest request body, 1024 to 67108864 bytes"`
	Policy          string         `long:"policy" env:"PINEVANE_POLICY" default:"two-choices" description:"two-choices, random, round-robin, least-loaded or affinity"`
	Decisions       forward.Policy `group:"Decisions on the users' machines"`
	MaximumAttempts int64          `long:"maximum-attempts" env:"PINEVANE_MAXIMUM_ATTEMPTS" default:"4" description:"maximum attempts per request, 1 to 16"`
}

func (c *entryCommand) check() error {
	if err := c.processFlags.check(); err != nil {
		return err
	}
	if err := checkDuration("--default-deadline", c.DefaultDeadline, time.Second, 24*time.Hour); err != nil {
		return err
	}
	if err := checkInteger("--maximum-body", c.MaximumBody, 1<<10, 64<<20, "bytes"); err != nil {
		return err
	}
	if !slices.Contains(entry.Policies, entry.Policy(c.Policy)) {
		return &fault.InvalidSetting{Flag: "--policy", Value: c.Policy, Allowed: "two-choices, random, round-robin, least-loaded or affinity"}
	}
	return checkInteger("--maximum-attempts", c.MaximumAttempts, 1, 16, "attempts")
}

// Execute runs the command.
func (c *entryCommand) Execute([]string) error {
	if c.Settings != "" {
		if err := c.Decisions.Check(); err != nil {
			return err
		}
		return c.runWithSettings(catalog.RoleEntry, c.Decisions)
	}
	if err := c.check(); err != nil {
		return err
	}
	log, err := c.logger()
	if err != nil {
		return err
	}
	defer log.Sync()
	limitMemory()
	process := entry.New(entry.Options{
		Node:             c.nodeOptions(external.RoleEntry),
		DefaultDeadline:  c.DefaultDeadline,
		MaximumBodyBytes: c.MaximumBody,
		MaximumAttempts:  int(c.MaximumAttempts),
		Policy:           entry.Policy(c.Policy),
	}, log)
	return process.Run(stopSignal())
}

type agentCommand struct {
	processFlags
	Service        string        `long:"service" env:"PINEVANE_SERVICE" description:"name of the plain service on this machine; omit for a model engine"`
	BackEnd        string        `long:"back-end" env:"PINEVANE_BACK_END" description:"IP address and port of this machine's engine or plain service"`
	Store          string        `long:"store" env:"PINEVANE_STORE" description:"IP address and port of this machine's weight store; required with an engine"`
	Origin         string        `long:"origin" env:"PINEVANE_ORIGIN" description:"IP address and port of the weight origin; required with an engine"`
	ModelSlots     int64         `long:"model-slots" env:"PINEVANE_MODEL_SLOTS" default:"2" description:"number of models that fit into the engine, 1 to 64"`
	MaximumOpen    int64         `long:"maximum-open" env:"PINEVANE_MAXIMUM_OPEN" default:"512" description:"maximum concurrent attempts, 1 to 65536"`
	LinkRate       int64         `long:"link-rate" env:"PINEVANE_LINK_RATE" default:"0" description:"this machine's link in bytes a second, 0 (no limit) or 65536 to 10^12"`
	StallWindow    time.Duration `long:"stall-window" env:"PINEVANE_STALL_WINDOW" default:"2s" description:"time without progress after which a transfer is aborted, 100ms to 5m"`
	RepairPatience time.Duration `long:"repair-patience" env:"PINEVANE_REPAIR_PATIENCE" default:"1s" description:"time to wait for a missing chunk, 50ms to 5m"`
	RetireGrace    time.Duration `long:"retire-grace" env:"PINEVANE_RETIRE_GRACE" default:"5s" description:"time that a replaced version stays loaded, 0s to 24h"`
}

const (
	minLinkRate = 64 << 10
	maxLinkRate = 1_000_000_000_000
)

func (c *agentCommand) check() error {
	if err := c.processFlags.check(); err != nil {
		return err
	}
	if err := checkAddress("--back-end", c.BackEnd); err != nil {
		return err
	}
	if c.Service == "" {
		if err := checkAddress("--store", c.Store); err != nil {
			return err
		}
		if err := checkAddress("--origin", c.Origin); err != nil {
			return err
		}
	} else if !namePattern.MatchString(c.Service) {
		return &fault.InvalidSetting{Flag: "--service", Value: c.Service, Allowed: "the name of a published service"}
	}
	if c.LinkRate != 0 {
		if err := checkInteger("--link-rate", c.LinkRate, minLinkRate, maxLinkRate, "bytes a second, or 0"); err != nil {
			return err
		}
	}
	if err := checkInteger("--model-slots", c.ModelSlots, 1, 64, "models"); err != nil {
		return err
	}
	if err := checkInteger("--maximum-open", c.MaximumOpen, 1, math.MaxUint16+1, "attempts"); err != nil {
		return err
	}
	if err := checkDuration("--stall-window", c.StallWindow, 100*time.Millisecond, 5*time.Minute); err != nil {
		return err
	}
	if err := checkDuration("--repair-patience", c.RepairPatience, 50*time.Millisecond, 5*time.Minute); err != nil {
		return err
	}
	return checkDuration("--retire-grace", c.RetireGrace, 0, 24*time.Hour)
}

// Execute runs the command.
func (c *agentCommand) Execute([]string) error {
	if c.Settings != "" {
		return c.runWithSettings(catalog.RoleAgent, forward.DefaultPolicy())
	}
	if err := c.check(); err != nil {
		return err
	}
	log, err := c.logger()
	if err != nil {
		return err
	}
	defer log.Sync()
	limitMemory()
	process := agent.New(agent.Options{
		Node: c.nodeOptions(external.RoleAgent), Service: c.Service,
		BackEndAddress: c.BackEnd, StoreAddress: c.Store, OriginAddress: c.Origin,
		ModelSlots: int(c.ModelSlots), MaximumOpen: int(c.MaximumOpen), LinkBytesPerSecond: c.LinkRate,
		StallWindow: c.StallWindow, RepairPatience: c.RepairPatience, RetireGrace: c.RetireGrace,
	}, log)
	return process.Run(stopSignal())
}
