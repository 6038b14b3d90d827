package coordinator

import (
	"context"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// RecordStreams records which builds began streams.
func (c *Coordinator) RecordStreams(ctx context.Context, req *apiv1.RecordStreamsRequest) (*apiv1.RecordStreamsResponse, error) {
	defer c.work.begin(ctx, dutyRecord)()
	resp := &apiv1.RecordStreamsResponse{Leadership: c.Leadership()}
	l := c.currentLeader()
	if l == nil {
		resp.Leadership.Leading = false
		return resp, nil
	}
	now := c.opts.Now()
	records := origin.DecodeRecords(req.GetStreams(), now)
	l.mu.Lock()
	defer l.mu.Unlock()
	resp.Leadership.Term = l.term
	resp.Full = !l.streams.Record(origin.Host{Name: req.GetHost(), Incarnation: req.GetIncarnation()}, records, now)
	if resp.Full {
		l.log.Warn().Str("event", "streams_not_recorded").Str("entry_host", req.GetHost()).Int("records", l.streams.Len()).
			Int("asked", len(records)).Msg("no room for records of streams; the host uses the first build")
	}
	c.metrics.streamRecords.Add(int64(len(records)))
	return resp, nil
}

// FindStream returns the build that began a stream which a caller takes up.
func (c *Coordinator) FindStream(ctx context.Context, req *apiv1.FindStreamRequest) (*apiv1.FindStreamResponse, error) {
	defer c.work.begin(ctx, dutyFind)()
	resp := &apiv1.FindStreamResponse{Leadership: c.Leadership()}
	l := c.currentLeader()
	if l == nil {
		resp.Leadership.Leading = false
		return resp, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := l.streams.Find(origin.DecodeQuery(req), c.builds(), l.routes.known, c.opts.Now())
	resp.Leadership.Term = l.term
	resp.Known, resp.Service, resp.Build = answer.Known, answer.Origin.Service, answer.Origin.Build
	resp.Reason = string(answer.Reason)
	c.metrics.streamsFound.Add(resp.Reason, 1)
	return resp, nil
}

// builds returns the recorded builds of all services.
func (c *Coordinator) builds() origin.Builds { return origin.NewBuilds(c.machine().Builds()) }

// observeBuilds records the builds that the list shows, and drops those that it has not shown for long.
// Hosts use a build for streams that can be taken up once it is recorded. The caller holds mu.
func (l *leader) observeBuilds(list []residency.ListedEngine) {
	listed := make([]origin.Origin, 0, len(list))
	for _, s := range list {
		listed = append(listed, origin.Origin{Service: s.Service, Build: s.Build})
	}
	change := l.buildHistory.Observe(listed, l.c.builds(), l.c.opts.Now())
	if change == nil || l.recordingBuilds {
		return
	}
	l.recordingBuilds = true
	l.background(func() { l.recordBuilds(change) })
}

func (l *leader) recordBuilds(change *apiv1.PutBuilds) {
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	_, err := l.c.opts.Log.Propose(ctx, &apiv1.Command{Command: &apiv1.Command_PutBuilds{PutBuilds: change}})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordingBuilds = false
	if err != nil {
		l.log.Warn().Err(err).Str("event", "builds_not_recorded").Msg("builds not recorded; retried at the next read of the list")
		return
	}
	l.log.Info().Str("event", "builds_recorded").Stringer("builds", l.c.builds()).
		Int("services_added", len(change.GetAdded())).Int("services_removed", len(change.GetRemoved())).
		Msg("builds of backend servers changed")
}

// lostHostGrace is how long hosts take to find a new leader: two exchanges.
const lostHostGrace = 500 * time.Millisecond

// lostHosts returns those of the hosts from which the leader hears nothing, once they have had time to find it.
func (l *leader) lostHosts(kept []*apiv1.KeptHost, now time.Time) []*apiv1.KeptHost {
	if now.Sub(l.began) < lostHostGrace {
		return nil
	}
	var out []*apiv1.KeptHost
	for _, h := range kept {
		if report := l.hosts.reports[h.GetHost()]; report == nil || report.incarnation != h.GetIncarnation() {
			out = append(out, h)
		}
	}
	return out
}

// addBuilds adds what a host has to know to begin streams.
func (l *leader) addBuilds(resp *apiv1.ExchangeResponse) {
	resp.Builds, resp.BuildsKnown = l.c.machine().Builds(), true
	resp.WantsStreams = l.streams.AnyIncomplete(l.c.opts.Now())
}
