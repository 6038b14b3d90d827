// Command jasmine-control runs a control host, which stores the configuration and
// the records of the fleet and, while it is the leader, sends orders to engines.
package main

import (
	"github.com/jasminesaddle/jasminesaddle/internal/commands"
	"github.com/jasminesaddle/jasminesaddle/internal/program"
)

func main() { program.Main(commands.Control) }
