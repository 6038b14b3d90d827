// Command jasminectl is the operator's command.
package main

import (
	"context"
	"os"

	"github.com/jasminesaddle/jasminesaddle/internal/operator"
	"github.com/jasminesaddle/jasminesaddle/internal/program"
)

func main() {
	program.Main(func(ctx context.Context, args []string) error {
		return operator.Run(ctx, args, operator.Streams{Out: os.Stdout, Err: os.Stderr})
	})
}
