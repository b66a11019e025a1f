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
	Minutes float64 `long:"minutes" default:"1" description:"time during which faults strike, 0.15 to 600 minutes"`
	Kinds   string  `long:"kinds" description:"kinds of faults to draw from, with commas between them; all when left out"`
	Logs    string  `long:"logs" description:"directory for a log file a process; a new temporary one when left out"`
}

// Bounds of a soak's length in minutes: one series of faults takes 9 s.
const (
	shortestSoak = 0.15
	longestSoak  = 600
)

// Execute runs the command.
func (c *soakCommand) Execute([]string) error {
	if err := checkInteger("--seed", c.Seed, 0, 1<<53, ""); err != nil {
		return err
	}
	duration := time.Duration(c.Minutes * float64(time.Minute))
	if !(c.Minutes >= shortestSoak && c.Minutes <= longestSoak) {
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
	logs, err := logFolder(c.Logs)
	if err != nil {
		return err
	}
	return soak.Run(soak.Options{Executable: executable, LogDirectory: logs, Seed: uint64(c.Seed), Duration: duration, Kinds: kinds, Output: os.Stdout})
}

// soakKinds reads a list of kinds of faults; all of them when it is empty.
func soakKinds(list string) ([]soak.Kind, error) {
	if list == "" {
		return soak.Kinds, nil
	}
	var kinds []soak.Kind
	for name := range strings.SplitSeq(list, ",") {
		kind := soak.Kind(name)
		if !slices.Contains(soak.Kinds, kind) {
			return nil, &fault.InvalidSetting{Flag: "--kinds", Value: name, Allowed: fmt.Sprint(soak.Kinds)}
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}

// logFolder makes the folder for logs, or a new temporary one.
func logFolder(path string) (string, error) {
	if path == "" {
		made, err := os.MkdirTemp("", "pinevane-soak")
		if err != nil {
			return "", &fault.Unavailable{Target: "temporary folder", Operation: "make", Cause: err}
		}
		return made, nil
	}
	if err := os.MkdirAll(path, 0o755); err != nil {
		return "", &fault.InvalidSetting{Flag: "--logs", Value: path, Allowed: "a directory: " + err.Error()}
	}
	return path, nil
}
