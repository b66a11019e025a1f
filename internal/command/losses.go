package command

import (
	"os"
	"time"

	"pinevane.example/pinevane/internal/explain"
	"pinevane.example/pinevane/internal/fault"
)

type lossesCommand struct {
	Window    time.Duration `long:"window" default:"2s" description:"length of a time window"`
	Arguments struct {
		Files []string `positional-arg-name:"LOGFILE" description:"logs of any number of processes" required:"1"`
	} `positional-args:"true" required:"true"`
}

// Execute runs the command.
func (c *lossesCommand) Execute([]string) error {
	if c.Window <= 0 {
		return &fault.InvalidSetting{Flag: "--window", Value: c.Window.String(), Allowed: "a time over 0"}
	}
	lines, err := readLogs(c.Arguments.Files)
	if err != nil {
		return err
	}
	return explain.CountLosses(lines).Write(os.Stdout, c.Window)
}

// readLogs reads the lines of several log files.
func readLogs(paths []string) ([]explain.Line, error) {
	var lines []explain.Line
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, &fault.InvalidSetting{Flag: "LOGFILE", Value: path, Allowed: "a readable file"}
		}
		fileLines, err := explain.Read(file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, fileLines...)
	}
	return lines, nil
}
