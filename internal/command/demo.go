package command

import (
	"os"

	"pinevane.example/pinevane/internal/demo"
)

type demoCommand struct {
	Deployment string `long:"deployment" env:"PINEVANE_DEMO_DEPLOYMENT" default:"examples/yaad-voices" description:"directory of a deployment"`
	Hold       bool   `long:"hold" env:"PINEVANE_DEMO_HOLD" description:"leave the fleet up until an interrupt"`
	Logs       string `long:"logs" env:"PINEVANE_DEMO_LOGS" description:"directory for a log file a process; discarded when left out"`
}

// Execute runs the command.
func (c *demoCommand) Execute([]string) error {
	executable, err := executablePath()
	if err != nil {
		return err
	}
	_, err = demo.Run(demo.Options{
		Executable: executable, Directory: c.Deployment, LogDirectory: c.Logs,
		Hold: c.Hold, Stop: stopSignal(), Output: os.Stdout,
	})
	return err
}
