// Command jasmine-control is the program of a control host. It stores the
// configuration and the records of the fleet and, while it leads, gives orders.
package main

import (
	"github.com/jasminesaddle/jasminesaddle/internal/commands"
	"github.com/jasminesaddle/jasminesaddle/internal/program"
)

func main() { program.Main(commands.Control) }
