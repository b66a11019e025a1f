// Package command implements the pinevane command line: one binary with a subcommand for each
// role. Every flag of a daemon can also be set by an environment variable, and flags are validated
// before anything starts.
package command

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"pinevane.example/pinevane/internal/fault"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailure means that the command failed or found an error.
	ExitFailure = 1
	// ExitUsage means that a flag or argument is invalid.
	ExitUsage = 2
)

// Version is the version of the build, set by the linker.
var Version = "0.1.0-dev"

// Run executes a command line and returns the exit code.
func Run(arguments []string) int {
	parser := flags.NewNamedParser("pinevane", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Distributes model weights to a fleet and routes requests between callers and back ends."
	for _, sub := range commands() {
		if _, err := parser.AddCommand(sub.name, sub.summary, sub.description, sub.data); err != nil {
			fmt.Fprintln(os.Stderr, "pinevane:", err)
			return ExitFailure
		}
	}
	_, err := parser.ParseArgs(arguments)
	return report(err)
}

type subcommand struct {
	name        string
	summary     string
	description string
	data        any
}

func commands() []subcommand {
	return []subcommand{
		{"entry", "Run an entry process", "Accepts callers' requests, enforces tenant limits, routes, retries and resumes.", &entryCommand{}},
		{"agent", "Run an agent process", "Fetches weights for its machine, sends its engine orders, and admits requests to it.", &agentCommand{}},
		{"emulate", "Run an emulation of the platform", "Emulates the configuration and membership services, the weight origin, machines and plain services.", &emulateCommand{}},
		{"demo", "Run a small fleet", "Starts emulators, entries and agents as processes, sends requests, and rolls out a version under load.", &demoCommand{}},
		{"experiment", "Run an experiment", "Measures rollouts and scale; prints JSON and writes plots.", &experimentCommand{}},
		{"check", "Check a directory of configuration documents", "Prints every error and exits 1 if there is one.", &checkCommand{}},
		{"render", "Show a tenant's rendered configuration", "Renders a directory's templates and prints one tenant as JSON.", &renderCommand{}},
		{"manifest", "Create a manifest from a directory of weight files", "Splits the files into chunks and prints the manifest's digest.", &manifestCommand{}},
		{"explain", "Explain a request from logs", "Joins the log lines of all processes into the timeline of one request and names the cause of its outcome.", &explainCommand{}},
		{"losses", "Count lost requests from logs", "Counts how requests ended, in the logs of all processes: by time, route and process, with the reasons.", &lossesCommand{}},
		{"release", "Release a quarantined request fingerprint", "Ends the quarantine of a request fingerprint in the whole fleet, through the administration address of any entry.", &releaseCommand{}},
		{"dump", "Show a process's state", "Reads the state dump of the process at an administration address.", &dumpCommand{}},
		{"version", "Show the build", "Prints the version of pinevane and of Go.", &versionCommand{}},
	}
}

// report prints an error on one line and returns its exit code.
func report(err error) int {
	var usage *flags.Error
	var setting *fault.InvalidSetting
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "pinevane:", usage.Message)
		return ExitUsage
	case errors.As(err, &setting):
		fmt.Fprintln(os.Stderr, "pinevane:", setting.Error())
		return ExitUsage
	}
	fmt.Fprintln(os.Stderr, "pinevane:", err)
	return ExitFailure
}

// stopSignal returns a channel that is closed on the first SIGINT or SIGTERM.
func stopSignal() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	stop := make(chan struct{})
	go func() {
		<-signals
		signal.Stop(signals)
		close(stop)
	}()
	return stop
}
