// Command jasmine-entry is the program of an entry host. It stands between
// callers and backend servers.
package main

import (
	"github.com/jasminesaddle/jasminesaddle/internal/commands"
	"github.com/jasminesaddle/jasminesaddle/internal/program"
)

func main() { program.Main(commands.Entry) }
