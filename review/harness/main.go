// Command harness runs the cases of this review. It starts the project's own
// programs as separate processes with the commands of the deploy file, on
// loopback addresses, and plays callers, backend servers, the platform and the
// operator itself. It exits with 1 if the rule of the case was broken, with 0
// if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxCaseTime limits one case; the project's page allows 120 s.
const maxCaseTime = 115 * time.Second

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(context.Context, *fleet, bool) error{
	"model-header":  caseModelHeader,
	"tenant-takeup": caseTenantTakeUp,
	"same-id-crash": caseSameIDCrash,
	"large-bodies":  caseBodies,
	"same-lookup":   caseLookup,
	"odd-entry":     caseOddEntry,
	"herd-takeup":   caseHerdTakeUp,
	"no-tenants":    caseNoTenants,
	"late-load":     caseLateLoad,
	"split-takeup":  caseSplitTakeUp,
	"leader-takeup": caseLeaderTakeUp,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	rec.add("case %s, trouble %v", name, trouble)
	ctx, cancel := context.WithTimeout(context.Background(), maxCaseTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	f, err := newFleet(rec)
	if err != nil {
		rec.add("RESULT could not run: %v", err)
		return 2
	}
	defer f.close()
	err = cases[name](ctx, f, trouble)
	switch {
	case errors.Is(err, errBroken):
		rec.add("RESULT broken")
		return 1
	case err != nil:
		rec.add("RESULT could not run: %v", err)
		return 2
	}
	rec.add("RESULT held")
	return 0
}
