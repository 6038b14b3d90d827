// Command harness2 plays the scripted cases of the second review. It starts the system's programs as processes of their own
// on loopback addresses, and plays their clients, backend servers and platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the scripted cases by the number of their folder. A case reports whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"7":  staleHelper,
	"8":  crowdedHeads,
	"9":  endlessHeads,
	"10": relayedBodies,
}

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun is the longest time that a script may take.
const maxRun = 115 * time.Second

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, disruption %v", os.Args[1], trouble)
	time.AfterFunc(maxRun, func() {
		rec.logf("the case takes too long")
		closeActive()
		os.Exit(exitNotRun)
	})
	broken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case broken:
		rec.logf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
