// Command jasmine-platform-control runs a control host on the users' platform.
package main

import (
	"github.com/jasminesaddle/jasminesaddle/internal/program"
	"github.com/jasminesaddle/jasminesaddle/platform"
)

func main() { program.Main(platform.Control) }
