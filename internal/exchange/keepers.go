package exchange

import (
	"context"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
)

const (
	// copyInterval is the time between two copies of the new records to their keepers. What was recorded since the last
	// one is lost if the host and the leader are lost at once.
	copyInterval = 200 * time.Millisecond
	// keepTimeout limits one call of a keeper, and keeperPause is how long one that did not answer is not chosen.
	keepTimeout = 250 * time.Millisecond
	keeperPause = 5 * time.Second
)

// Keeper is another entry host, which keeps copies of this host's records of streams.
type Keeper interface {
	KeepStreams(ctx context.Context, req *apiv1.KeepStreamsRequest) (*apiv1.KeepStreamsResponse, error)
}

// keeperState is what this host knows of a keeper. It has all records up to the last copy if it is synced.
type keeperState struct {
	incarnation uint64
	synced      bool
	pausedUntil time.Time
}

// copies has keepers hold copies of this host's records, while a leader may be asked for any of them.
type copies struct {
	c       *Client
	routes  origin.Routes
	catalog *catalog.Catalog
	keepers map[string]*keeperState // by address
}

// copyLoop copies the records of this host to their keepers until the context is canceled.
func (c *Client) copyLoop(ctx context.Context) error {
	if c.opts.Keeper == nil {
		return nil
	}
	cp := &copies{c: c, keepers: map[string]*keeperState{}}
	for ctx.Err() == nil {
		sleep(ctx, copyInterval)
		cp.copy(ctx, c.opts.Now())
	}
	return nil
}

// needed reports whether a leader may have to know more of streams than the catalog and the builds say.
func (cp *copies) needed(v *View, now time.Time) bool {
	if v.Catalog != cp.catalog && v.Catalog != nil {
		cp.catalog = v.Catalog
		cp.routes, _ = cp.routes.With(v.Catalog, now)
	}
	return v.BuildsKnown && (v.Builds.AnySeveral() || cp.routes.AnySplit(now))
}

func (cp *copies) copy(ctx context.Context, now time.Time) {
	v := cp.c.View()
	added := cp.c.streams.Added()
	if !cp.needed(v, now) {
		clear(cp.keepers)
		return
	}
	chosen := origin.ChooseKeepers(cp.available(v, now), cp.c.opts.FailureDomain)
	current := map[string]*keeperState{}
	for _, n := range chosen {
		k := cp.keepers[n.Address]
		if k == nil {
			k = &keeperState{}
		}
		current[n.Address] = k
		cp.update(ctx, n.Address, k, added, now)
	}
	for address, k := range cp.keepers {
		if current[address] == nil && now.Before(k.pausedUntil) {
			current[address] = k
		}
	}
	cp.keepers = current
}

// available returns the hosts that may keep records, in the order in which the leader ranks them for this host.
func (cp *copies) available(v *View, now time.Time) []origin.Neighbor {
	var out []origin.Neighbor
	for _, h := range v.Helpers {
		if k := cp.keepers[h.Address]; k == nil || !now.Before(k.pausedUntil) {
			out = append(out, origin.Neighbor{Host: h.Host, Address: h.Address, Domain: h.Domain})
		}
	}
	return out
}

// update sends a keeper the records that it lacks.
func (cp *copies) update(ctx context.Context, address string, k *keeperState, added []origin.Record, now time.Time) {
	records := added
	if !k.synced {
		records = cp.c.streams.All(now)
	}
	for len(records) > 0 {
		n := min(len(records), maxRecordsPerCall)
		incarnation, err := cp.c.callKeeper(ctx, address, records[:n])
		if err != nil {
			cp.c.log.Debug().Err(err).Str("keeper", address).Msg("records of streams not copied; another host is chosen")
			k.synced, k.pausedUntil = false, now.Add(keeperPause)
			return
		}
		restarted := k.incarnation != incarnation
		k.incarnation = incarnation
		if restarted && k.synced {
			// The keeper has lost its copies.
			k.synced = false
			return
		}
		records = records[n:]
	}
	k.synced = true
}

func (c *Client) callKeeper(ctx context.Context, address string, records []origin.Record) (incarnation uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	now := c.opts.Now()
	req := &apiv1.KeepStreamsRequest{Host: c.opts.Host, Incarnation: c.opts.Incarnation}
	for _, r := range records {
		req.Streams = append(req.Streams, r.Proto(now))
	}
	resp, err := c.opts.Keeper(address).KeepStreams(ctx, req)
	return resp.GetIncarnation(), err
}

// KeepStreams keeps copies of another host's records.
func (c *Client) KeepStreams(_ context.Context, req *apiv1.KeepStreamsRequest) (*apiv1.KeepStreamsResponse, error) {
	c.kept.Put(origin.Host{Name: req.GetHost(), Incarnation: req.GetIncarnation()}, origin.DecodeRecords(req.GetStreams(), c.opts.Now()))
	return &apiv1.KeepStreamsResponse{Incarnation: c.opts.Incarnation}, nil
}

// keptHosts returns the hosts whose copies the leader of the term does not have from this host yet.
func (c *Client) keptHosts(term uint64) []*apiv1.KeptHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*apiv1.KeptHost
	for _, h := range c.kept.Hosts() {
		if c.keptSent[h] != term {
			out = append(out, &apiv1.KeptHost{Host: h.Name, Incarnation: h.Incarnation})
		}
	}
	return out
}

// setLost has the record loop send the copies of the hosts that the leader has lost.
func (c *Client) setLost(resp *apiv1.ExchangeResponse) {
	if len(resp.GetLost()) == 0 {
		return
	}
	c.mu.Lock()
	c.lost, c.lostTerm = resp.GetLost(), resp.GetLeadership().GetTerm()
	c.mu.Unlock()
	c.signalRecords()
}

// sendKept sends the leader the copies of hosts that are lost.
func (c *Client) sendKept(ctx context.Context) {
	c.mu.Lock()
	lost, term := c.lost, c.lostTerm
	c.lost = nil
	c.mu.Unlock()
	for _, m := range lost {
		h := origin.Host{Name: m.GetHost(), Incarnation: m.GetIncarnation()}
		records := c.kept.Of(h, c.opts.Now())
		if err := c.recordStreams(ctx, h, records); err != nil {
			return // the leader names the host again
		}
		c.log.Info().Str("event", "kept_streams_sent").Uint64("term", term).Str("lost_host", h.Name).Int("records", len(records)).
			Msg("the new leader gets the kept records of a lost host")
		c.mu.Lock()
		c.keptSent[h] = term
		c.mu.Unlock()
	}
}
