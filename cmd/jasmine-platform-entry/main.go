// Command jasmine-platform-entry runs an entry host on the users' platform.
package main

import (
	"github.com/jasminesaddle/jasminesaddle/internal/program"
	"github.com/jasminesaddle/jasminesaddle/platform"
)

func main() { program.Main(platform.Entry) }
