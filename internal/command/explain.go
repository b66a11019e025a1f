package command

import (
	"fmt"
	"os"

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
	var lines []explain.Line
	for _, path := range c.Arguments.Files {
		file, err := os.Open(path)
		if err != nil {
			return &fault.InvalidSetting{Flag: "LOGFILE", Value: path, Allowed: "a readable file"}
		}
		read, err := explain.Read(file)
		_ = file.Close()
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	story := explain.Tell(lines, c.Arguments.Request)
	for _, line := range story.Lines {
		fmt.Println(line)
	}
	fmt.Printf("\ncause: %s\n", story.Cause)
	if len(story.Lines) == 0 {
		return &fault.InvalidSetting{Flag: "ID", Value: c.Arguments.Request, Allowed: "the id of a request in the logs"}
	}
	return nil
}
