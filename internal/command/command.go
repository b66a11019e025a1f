// Package command is pinevane's command line: one binary, a command a role.
// Every flag can also be set by an environment variable and is checked against
// a range before anything starts.
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
	// ExitFailure means that the command ran and found or met a failure.
	ExitFailure = 1
	// ExitUsage means that a flag or argument is wrong.
	ExitUsage = 2
)

// Version is the build's version, set by the linker.
var Version = "0.1.0-dev"

// Run carries out a command line and returns the exit code.
func Run(arguments []string) int {
	parser := flags.NewNamedParser("pinevane", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Carries model weights to a whole fleet in a burst, and every request between callers and back ends."
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
		{"entry", "Run an entry process", "Takes callers' requests, holds tenants to their limits, routes, retries and resumes.", &entryCommand{}},
		{"agent", "Run an agent process", "Brings weights to its machine, gives its engine orders, and admits requests to it.", &agentCommand{}},
		{"emulate", "Run a stand-in of the platform", "Stands in for the configuration and membership services, the weight origin, machines and plain services.", &emulateCommand{}},
		{"demo", "Run a whole small fleet", "Starts stand-ins, entries and agents as processes, answers requests, and rolls out a version meanwhile.", &demoCommand{}},
		{"experiment", "Run an experiment", "Measures rollouts and scale; prints JSON and writes plots.", &experimentCommand{}},
		{"check", "Check a directory of configuration documents", "Prints every fault and exits 1 when there is one.", &checkCommand{}},
		{"render", "Show what a tenant renders to", "Renders a directory's templates and prints one tenant as JSON.", &renderCommand{}},
		{"manifest", "Make a manifest from a directory of weight files", "Cuts the files into chunks and prints the manifest's digest.", &manifestCommand{}},
		{"explain", "Explain a request from logs", "Joins the log lines of all processes into the story of one request and names its cause.", &explainCommand{}},
		{"losses", "Count lost requests from logs", "Counts how requests ended, in the logs of all processes: by time, route and process, with the reasons.", &lossesCommand{}},
		{"release", "Send a quarantined content to servers again", "Ends the quarantine of a content in the whole fleet, at the administration address of any entry.", &releaseCommand{}},
		{"dump", "Show a process's state", "Reads the state dump of the process at an administration address.", &dumpCommand{}},
		{"version", "Show the build", "Prints the version of pinevane and of Go.", &versionCommand{}},
	}
}

// report prints an error in one line and maps it to an exit code.
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

// stopSignal returns a channel that closes on the first interrupt or
// termination signal.
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
