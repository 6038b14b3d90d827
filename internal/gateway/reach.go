package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/reach"
)

const (
	// probedServers is the number of servers of one round of probes. The others are probed only if none
	// of the firstProbes accepts.
	probedServers = 8
	firstProbes   = 2
	// probeTimeout limits the time to open a connection.
	probeTimeout = 400 * time.Millisecond
)

// ObserveDial records whether a connection to an address was opened. Addresses that are not those of
// backend servers do not count.
func (g *Gateway) ObserveDial(address string, err error) {
	if err == nil {
		g.reach.Connected()
		return
	}
	for _, s := range g.opts.Fleet.View().Servers {
		if s.Address == address {
			g.recordFailedContact(address, reach.NotOpened)
			return
		}
	}
}

// recordFailedContact records that a server could not be reached, broke off or fell silent.
func (g *Gateway) recordFailedContact(address string, kind reach.Failure) {
	if g.reach.Failed(address, kind, len(g.opts.Fleet.View().Servers), g.opts.Now()) {
		select {
		case g.suspected <- struct{}{}:
		default:
		}
	}
}

// CutOff reports whether this host reaches no backend server.
func (g *Gateway) CutOff() bool {
	cut, _ := g.reach.CutOff()
	return cut
}

// WatchReach probes servers whenever several fail, and while the host is cut off, until the context ends.
func (g *Gateway) WatchReach(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.suspected:
		}
		for g.probe(ctx) {
			sleep(ctx, g.reach.RetryIn(g.opts.Now()))
		}
	}
}

// probe opens connections to a sample of the servers, and reports whether the host is cut off.
func (g *Gateway) probe(ctx context.Context) bool {
	began := g.opts.Now()
	addresses := g.sampleServers()
	tried := min(firstProbes, len(addresses))
	reached := g.countReachable(ctx, addresses[:tried])
	if wasCut, _ := g.reach.CutOff(); reached == 0 && !wasCut {
		reached = g.countReachable(ctx, addresses[tried:])
		tried = len(addresses)
	}
	if ctx.Err() != nil {
		return false
	}
	_, since := g.reach.CutOff()
	now := g.opts.Now()
	cut, changed := g.reach.Probed(tried, reached, now)
	g.metrics.probes.Add(int64(tried))
	e := g.log.Info().Str("dependency", "backend_servers").Int("probed", tried).Int("reached", reached).Dur("took", now.Sub(began))
	switch {
	case changed && cut:
		e.Str("event", "dependency_lost").Int("helpers", len(g.opts.Fleet.View().Helpers)).
			Msg("host reaches no backend server; other hosts serve its requests")
		g.dropAllConnections()
	case changed:
		e.Str("event", "dependency_regained").Dur("lost_for", now.Sub(since)).Msg("host reaches backend servers again")
		g.usage.endBackoffs()
	default:
		e.Discard()
	}
	return cut
}

// countReachable returns how many of the servers accept a connection.
func (g *Gateway) countReachable(ctx context.Context, addresses []string) int {
	var reached atomic.Int64
	var probes sync.WaitGroup
	for _, address := range addresses {
		probes.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			if g.opts.Backend.Reachable(ctx, address) {
				reached.Add(1)
			}
		})
	}
	probes.Wait()
	return int(reached.Load())
}

// sampleServers returns the addresses of some servers, chosen at random.
func (g *Gateway) sampleServers() []string {
	var out []string
	for _, s := range g.opts.Fleet.View().Servers {
		if !s.Draining {
			out = append(out, s.Address)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), probedServers)]
}

func (g *Gateway) dropAllConnections() {
	for _, s := range g.opts.Fleet.View().Servers {
		g.opts.DropConnections(s.Address)
	}
}
