package consensus

// Run is one run of a process on a data folder, as a peer has seen it.
type Run struct {
	Boot, Nonce uint64
	// Saves is the highest save number seen from the data folder.
	Saves uint64
}

// Verdict tells what a peer makes of a message's sender.
type Verdict int

// Verdicts.
const (
	// KnownRun is the newest run seen from the data folder.
	KnownRun Verdict = iota
	// NewRun must be saved before the message is handled.
	NewRun
	// OldRun is an earlier run or a run on an older copy of the data folder.
	// Its messages are dropped.
	OldRun
)

// Runs holds the newest run seen from each disk identity. A data folder that
// was restored from a copy has a boot counter or a save number that was seen
// from another run before.
type Runs map[string]Run

// Check looks at the run that a message claims and remembers it when it is not
// old.
func (r Runs) Check(disk string, run Run, savesAtOpen uint64) Verdict {
	seen, ok := r[disk]
	switch {
	case ok && run.Boot == seen.Boot && run.Nonce == seen.Nonce:
		seen.Saves = max(seen.Saves, run.Saves)
		r[disk] = seen
		return KnownRun
	case ok && (run.Boot <= seen.Boot || savesAtOpen <= seen.Saves):
		return OldRun
	}
	r[disk] = run
	return NewRun
}

// RolledBack tells whether what a peer has seen of this disk shows that the own
// run was started on an older copy.
func RolledBack(own, seen Run) bool {
	if seen.Boot == 0 {
		return false
	}
	if seen.Boot == own.Boot && seen.Nonce != own.Nonce {
		return true
	}
	return seen.Boot > own.Boot || seen.Saves > own.Saves
}
