// Command pinevane is every process of the system, one command a role.
package main

import (
	"os"

	"pinevane.example/pinevane/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:]))
}
