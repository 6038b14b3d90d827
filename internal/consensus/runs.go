package consensus

// Run identifies one run of a process on a data folder.
type Run struct {
	Boot, Nonce uint64
	// Saves is the number of the last save known of the run.
	Saves uint64
}

// RunStatus classifies the run of a message's sender.
type RunStatus int

// Statuses of runs.
const (
	// KnownRun is the newest run seen on the data folder.
	KnownRun RunStatus = iota
	// NewRun is a run that was not seen before and continues the last one seen, if
	// any. It must be saved before the message is handled.
	NewRun
	// OldRun is an earlier run, a run on an older copy of the data folder, or one
	// that has not yet sent its earlier runs. Its messages are dropped.
	OldRun
)

// Runs maps each disk identity to the newest run seen on it.
type Runs map[string]Run

// Check classifies the run that a message claims, given the earlier runs that
// the sender's data folder has recorded, and stores it when it is the newest.
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

// Continues reports whether a run includes all that a peer has seen of the data
// folder: the run seen by the peer is this run or one of its earlier runs, with
// at least as many saves. Boot counters alone would accept a copy that was made
// during the run seen by the peer, or that was started often enough.
func Continues(run Run, earlier []Run, seen Run) bool {
	if run.Nonce == seen.Nonce {
		return seen.Saves <= run.Saves
	}
	for _, e := range earlier {
		if e.Nonce == seen.Nonce {
			return seen.Saves <= e.Saves
		}
	}
	// When the run seen by the peer is older than all recorded runs, only the boot
	// counter can be compared.
	return len(earlier) > 0 && seen.Boot < earlier[0].Boot
}
