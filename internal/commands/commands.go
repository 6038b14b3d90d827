// Package commands implements the programs, so that their main functions stay
// small and tests can run whole programs.
package commands

import (
	"context"
	"net"
	"os"

	"github.com/jasminesaddle/jasminesaddle/internal/operator"
	"github.com/jasminesaddle/jasminesaddle/internal/program"
	"github.com/jasminesaddle/jasminesaddle/internal/roles"
	"github.com/jasminesaddle/jasminesaddle/internal/settings"
)

// Entry runs an entry host.
func Entry(ctx context.Context, args []string) error {
	s, err := settings.ParseEntry(args, os.Stderr)
	if err != nil {
		return err
	}
	host, err := roles.NewEntryHost(s, program.Logger(s.LogLevel))
	if err != nil {
		return err
	}
	public, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	internal, err := net.Listen("tcp", s.InternalListen)
	if err != nil {
		return err
	}
	return host.Run(ctx, public, internal)
}

// Control runs a control host.
func Control(ctx context.Context, args []string) error {
	s, err := settings.ParseControl(args, os.Stderr)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	return roles.RunControl(ctx, s, listener, program.Logger(s.LogLevel))
}

// Operator runs the operator's command jasminectl.
func Operator(ctx context.Context, args []string) error {
	return operator.Run(ctx, args, operator.Streams{Out: os.Stdout, Err: os.Stderr})
}
