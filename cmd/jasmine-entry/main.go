// Command jasmine-entry runs an entry host, which forwards requests from callers
// to backend servers.
package main

import (
	"github.com/jasminesaddle/jasminesaddle/internal/commands"
	"github.com/jasminesaddle/jasminesaddle/internal/program"
)

func main() { program.Main(commands.Entry) }
