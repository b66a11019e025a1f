package command

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"pinevane.example/pinevane/internal/experiment/soak"
	"pinevane.example/pinevane/internal/fault"
)

type soakCommand struct {
	Seed    int64   `long:"seed" default:"1" description:"seed of the schedule of faults, 0 to 2^53"`
	Minutes float64 `long:"minutes" default:"1" description:"time during which faults are injected, 0.15 to 600 minutes"`
	Kinds   string  `long:"kinds" description:"comma-separated kinds of faults to draw from; if omitted, all but those of restores of the store and of pauses"`
	Logs    string  `long:"logs" description:"directory for one log file per process; a new temporary one if omitted"`
}

// Bounds of a soak test's length in minutes. One round of faults takes 9 s.
const (
	minSoakMinutes = 0.15
	maxSoakMinutes = 600
)

// Execute runs the command.
func (c *soakCommand) Execute([]string) error {
	if err := checkInteger("--seed", c.Seed, 0, 1<<53, ""); err != nil {
		return err
	}
	duration := time.Duration(c.Minutes * float64(time.Minute))
	if !(c.Minutes >= minSoakMinutes && c.Minutes <= maxSoakMinutes) {
		return &fault.InvalidSetting{Flag: "--minutes", Value: duration.String(), Allowed: "0.15 to 600"}
	}
	kinds, err := soakKinds(c.Kinds)
	if err != nil {
		return err
	}
	executable, err := executablePath()
	if err != nil {
		return err
	}
	logs, err := makeLogDirectory(c.Logs)
	if err != nil {
		return err
	}
	return soak.Run(soak.Options{Executable: executable, LogDirectory: logs, Seed: uint64(c.Seed), Duration: duration, Kinds: kinds, Output: os.Stdout})
}

// soakKinds parses a comma-separated list of fault kinds; an empty list selects all.
func soakKinds(list string) ([]soak.Kind, error) {
	if list == "" {
		return soak.Kinds, nil
	}
	var kinds []soak.Kind
	for name := range strings.SplitSeq(list, ",") {
		kind := soak.Kind(name)
		if !slices.Contains(soak.NamedKinds, kind) {
			return nil, &fault.InvalidSetting{Flag: "--kinds", Value: name, Allowed: fmt.Sprint(soak.NamedKinds)}
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}

// makeLogDirectory creates the log directory, or a temporary one if path is empty.
func makeLogDirectory(path string) (string, error) {
	if path == "" {
		created, err := os.MkdirTemp("", "pinevane-soak")
		if err != nil {
			return "", &fault.Unavailable{Target: "temporary directory", Operation: "make", Cause: err}
		}
		return created, nil
	}
	if err := os.MkdirAll(path, 0o755); err != nil {
		return "", &fault.InvalidSetting{Flag: "--logs", Value: path, Allowed: "a directory: " + err.Error()}
	}
	return path, nil
}
