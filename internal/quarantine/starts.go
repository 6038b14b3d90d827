package quarantine

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

const (
	// sameCrashWindow is the longest time between two reports of one crash by hosts that know different starts of
	// its server. A server takes longer than that to start again and crash.
	sameCrashWindow = time.Second
	// crashRetention is how long a crash is remembered for later reports of it: as long as hosts retain marks.
	crashRetention = markRetention
	// maxCrashedServers limits the servers whose crashes are remembered.
	maxCrashedServers = 4096
)

// seenCrash is a crash as it was first reported.
type seenCrash struct {
	startID string
	at      time.Time
}

// Starts tells the crashes of a server apart that starts again under its name. Hosts learn of a start only from the
// platform's list, so that two of them may name different starts for one crash. It is not safe for concurrent use.
type Starts struct {
	crashes map[string][]seenCrash
}

// NewStarts returns an empty record.
func NewStarts() *Starts { return &Starts{crashes: map[string][]seenCrash{}} }

// StartID returns the start by which the crash of a mark is counted, which is the same in all marks of one crash.
func (s *Starts) StartID(m *apiv1.CrashMark, now time.Time) string {
	server, at := m.GetBackendServer(), crashTime(m, now)
	s.prune(now)
	for _, seen := range s.crashes[server] {
		if seen.startID == m.GetStartId() || at.Sub(seen.at).Abs() < sameCrashWindow {
			return seen.startID
		}
	}
	s.crashes[server] = append(s.crashes[server], seenCrash{m.GetStartId(), at})
	return m.GetStartId()
}

// prune drops the crashes that no host reports any more, once there are many.
func (s *Starts) prune(now time.Time) {
	if len(s.crashes) < maxCrashedServers {
		return
	}
	for server, seen := range s.crashes {
		if now.Sub(seen[len(seen)-1].at) > crashRetention {
			delete(s.crashes, server)
		}
	}
	if len(s.crashes) >= maxCrashedServers {
		clear(s.crashes)
	}
}
