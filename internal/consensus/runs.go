package consensus

// Run is one run of a process on a data folder.
type Run struct {
	Boot, Nonce uint64
	// Saves is the number of its last save, as far as it is known.
	Saves uint64
}

// RunStatus tells what a peer makes of a message's sender.
type RunStatus int

// States of runs.
const (
	// KnownRun is the newest run seen from the data folder.
	KnownRun RunStatus = iota
	// NewRun must be saved before the message is handled.
	NewRun
	// OldRun is an earlier run, a run on an older copy of the data folder, or one
	// that has not yet shown its earlier runs. Its messages are dropped.
	OldRun
)

// Runs holds the newest run seen from each disk identity.
type Runs map[string]Run

// Check looks at the run that a message claims, with the earlier runs that the
// data folder has recorded, and remembers it when it is the newest.
func (r Runs) Check(disk string, run Run, earlier []Run) RunStatus {
	seen, ok := r[disk]
	if ok && run.Nonce == seen.Nonce && run.Boot == seen.Boot {
		seen.Saves = max(seen.Saves, run.Saves)
		r[disk] = seen
		return KnownRun
	}
	if ok && !Continues(run, earlier, seen) {
		return OldRun
	}
	r[disk] = run
	return NewRun
}

// Continues tells whether a run holds all that a peer has seen of the data
// folder: the run that the peer has seen is one of its earlier runs and ended
// with at least as many saves. Boot counters alone would let a copy through that
// was made during the run that the peer has seen, or that was started often
// enough.
func Continues(run Run, earlier []Run, seen Run) bool {
	if run.Nonce == seen.Nonce {
		return seen.Saves <= run.Saves
	}
	for _, e := range earlier {
		if e.Nonce == seen.Nonce {
			return seen.Saves <= e.Saves
		}
	}
	// A peer that was away for longer than the record reaches back cannot tell
	// more than that the boot counter has grown.
	return len(earlier) > 0 && seen.Boot < earlier[0].Boot
}
