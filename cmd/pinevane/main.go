// Command pinevane runs every process of the system; each role is a subcommand.
package main

import (
	"os"

	"pinevane.example/pinevane/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:]))
}
