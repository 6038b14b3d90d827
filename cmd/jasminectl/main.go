// Command jasminectl is the operator's command.
package main

import (
	"github.com/jasminesaddle/jasminesaddle/internal/commands"
	"github.com/jasminesaddle/jasminesaddle/internal/program"
)

func main() { program.Main(commands.Operator) }
