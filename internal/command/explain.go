package command

import (
	"fmt"

	"pinevane.example/pinevane/internal/explain"
	"pinevane.example/pinevane/internal/fault"
)

type explainCommand struct {
	Arguments struct {
		Request string   `positional-arg-name:"ID" description:"the request's id" required:"1"`
		Files   []string `positional-arg-name:"LOGFILE" description:"logs of any number of processes" required:"1"`
	} `positional-args:"true" required:"true"`
}

// Execute runs the command.
func (c *explainCommand) Execute([]string) error {
	lines, err := readLogs(c.Arguments.Files)
	if err != nil {
		return err
	}
	timeline := explain.Explain(lines, c.Arguments.Request)
	for _, line := range timeline.Lines {
		fmt.Println(line)
	}
	fmt.Printf("\ncause: %s\n", timeline.Cause)
	if len(timeline.Lines) == 0 {
		return &fault.InvalidSetting{Flag: "ID", Value: c.Arguments.Request, Allowed: "the id of a request in the logs"}
	}
	return nil
}
