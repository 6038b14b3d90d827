package session

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"

	"github.com/jasminesaddle/jasminesaddle/internal/operator"
)

// changeMany sends numbered changes of a team's rate, one after another.
func changeMany(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("change-many", flag.ContinueOnError)
	from := fs.Int("from", 2, "number of the first change")
	count := fs.Int("n", 1, "number of changes")
	if err := fs.Parse(args); err != nil {
		return err
	}
	for i := range *count {
		number := *from + i
		err := operator.Run(ctx, []string{
			"team", "set", "-author", "ana", "-number", strconv.Itoa(number),
			"-tokens-per-second", strconv.Itoa(50_000 + number), "-burst", "200000", "north",
		}, operator.Streams{Out: io.Discard, Err: io.Discard})
		if err != nil {
			return fmt.Errorf("change %d: %w", number, err)
		}
	}
	return nil
}
