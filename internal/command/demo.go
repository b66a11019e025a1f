package command

import (
	"os"

	"pinevane.example/pinevane/internal/demo"
	"pinevane.example/pinevane/internal/fault"
)

type demoCommand struct {
	Platform   string `long:"platform" env:"PINEVANE_DEMO_PLATFORM" default:"product" description:"product (pinevane's own emulators) or system (the emulation of the users' platform)"`
	Deployment string `long:"deployment" env:"PINEVANE_DEMO_DEPLOYMENT" default:"examples/yaad-voices" description:"directory of a deployment"`
	Hold       bool   `long:"hold" env:"PINEVANE_DEMO_HOLD" description:"keep the fleet running until interrupted"`
	Logs       string `long:"logs" env:"PINEVANE_DEMO_LOGS" description:"directory for one log file per process; logs are discarded if omitted"`
}

// Execute runs the command.
func (c *demoCommand) Execute([]string) error {
	executable, err := executablePath()
	if err != nil {
		return err
	}
	switch c.Platform {
	case "product":
	case "system":
		return demo.RunSystem(demo.SystemOptions{Executable: executable, LogDirectory: c.Logs, Output: os.Stdout})
	default:
		return &fault.InvalidSetting{Flag: "--platform", Value: c.Platform, Allowed: "product or system"}
	}
	_, err = demo.Run(demo.Options{
		Executable: executable, Directory: c.Deployment, LogDirectory: c.Logs,
		Hold: c.Hold, Stop: stopSignal(), Output: os.Stdout,
	})
	return err
}
