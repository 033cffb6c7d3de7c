// Command rosemarylb is a database proxy with session consistency.
package main

import (
	"os"

	"rosemarylb/internal/shell/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
