// Command jasmine-control is the program of a control host. It stores the
// configuration and the records of the fleet and, while it leads, gives orders.
package main

import (
	"context"
	"net"
	"os"

	"github.com/jasminesaddle/jasminesaddle/internal/program"
	"github.com/jasminesaddle/jasminesaddle/internal/roles"
	"github.com/jasminesaddle/jasminesaddle/internal/settings"
)

func main() {
	program.Main(func(ctx context.Context, args []string) error {
		s, err := settings.ParseControl(args, os.Stderr)
		if err != nil {
			return err
		}
		listener, err := net.Listen("tcp", s.Listen)
		if err != nil {
			return err
		}
		return roles.RunControl(ctx, s, listener, program.Logger(s.LogLevel))
	})
}
