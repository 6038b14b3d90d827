// Command standin-engine runs a stand-in engine for development and tests. It
// runs no model and is not for production.
package main

import (
	"github.com/jasminesaddle/jasminesaddle/internal/commands"
	"github.com/jasminesaddle/jasminesaddle/internal/program"
)

func main() { program.Main(commands.StandinEngine) }
