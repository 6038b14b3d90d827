// Command standin-service runs a stand-in plain service for development and
// tests. It is not for production.
package main

import (
	"github.com/jasminesaddle/jasminesaddle/internal/commands"
	"github.com/jasminesaddle/jasminesaddle/internal/program"
)

func main() { program.Main(commands.StandinService) }
