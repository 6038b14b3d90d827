package exchange

import (
	"context"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
)

const (
	// recordTimeout limits one call that records streams, findTimeout one that finds a stream.
	recordTimeout = 250 * time.Millisecond
	findTimeout   = 250 * time.Millisecond
	// maxRecordCallsPerSecond limits the calls of all hosts together, beside those for tokens.
	maxRecordCallsPerSecond = 600
	// maxRecordsPerCall limits the records of one call, to about 200 KB.
	maxRecordsPerCall = 2000
	// maxQueuedRecords limits the records that wait for a call without a request that waits for them.
	maxQueuedRecords = 20_000
	// findRetryAfter is the time after which another leader is likely to answer.
	findRetryAfter = time.Second
)

// streamBatch holds records that are sent in one call.
type streamBatch struct {
	records []origin.Record
	done    chan struct{}
	err     error
}

func newStreamBatch() *streamBatch { return &streamBatch{done: make(chan struct{})} }

// RecordStream records the origin of a stream that is about to begin. Unless it is certain without a
// record, it returns only once the leader has the record.
func (c *Client) RecordStream(ctx context.Context, r origin.Record, certain bool) error {
	other, conflict := c.streams.Put(r, c.opts.Now())
	if certain && !conflict {
		if c.View().WantsStreams {
			c.queueRecords([]origin.Record{r})
			c.signalRecords()
		}
		return nil
	}
	c.mu.Lock()
	b := c.nextBatch
	if conflict {
		b.records = append(b.records, other)
	}
	b.records = append(b.records, r)
	c.mu.Unlock()
	c.signalRecords()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-b.done:
		return copyError(b.err)
	}
}

// copyError returns an error that its receiver may change, for one that several requests get.
func copyError(err error) error {
	if e, ok := fault.As(err); ok {
		copied := *e
		return &copied
	}
	return err
}

// queueRecords adds records to the next call, for which no request waits. If there is no room for some, all are sent
// again later.
func (c *Client) queueRecords(records []origin.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	room := max(0, maxQueuedRecords-len(c.nextBatch.records))
	if room < len(records) {
		c.resentTerm = 0
	}
	c.nextBatch.records = append(c.nextBatch.records, records[:min(room, len(records))]...)
}

// keepUnsent keeps the records of a call that was not answered until the leader answers an exchange. Sending all
// records of the host instead would give a slow leader more work for each call that it cannot answer in time.
func (c *Client) keepUnsent(records []origin.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unsent)+len(records) > maxQueuedRecords {
		c.unsent, c.resentTerm = nil, 0
		return
	}
	c.unsent = append(c.unsent, records...)
}

// sendUnsent queues the records of the calls that were not answered.
func (c *Client) sendUnsent() {
	c.mu.Lock()
	records := c.unsent
	c.unsent = nil
	c.mu.Unlock()
	if len(records) > 0 {
		c.queueRecords(records)
		c.signalRecords()
	}
}

func (c *Client) signalRecords() {
	select {
	case c.recordsQueued <- struct{}{}:
	default:
	}
}

func (c *Client) recordLoop(ctx context.Context) error {
	pacer := callPacer{perSecond: maxRecordCallsPerSecond}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.recordsQueued:
		}
		c.mu.Lock()
		b := c.nextBatch
		c.nextBatch = newStreamBatch()
		c.mu.Unlock()
		pause := pacer.next(c.View().Hosts, c.opts.Now())
		b.err = c.recordStreams(ctx, c.self(), b.records)
		close(b.done)
		if b.err != nil && !fault.Is(b.err, fault.KindOverloaded) && c.View().WantsStreams {
			c.keepUnsent(b.records)
		}
		c.sendKept(ctx)
		sleep(ctx, pause)
	}
}

func (c *Client) self() origin.Host {
	return origin.Host{Name: c.opts.Host, Incarnation: c.opts.Incarnation}
}

// recordStreams sends a host's records to the leader.
func (c *Client) recordStreams(ctx context.Context, host origin.Host, records []origin.Record) error {
	for len(records) > 0 {
		n := min(len(records), maxRecordsPerCall)
		if err := c.callRecordStreams(ctx, host, records[:n]); err != nil {
			c.recordCalls.Add("failed", 1)
			c.log.Debug().Err(err).Int("records", len(records)).Msg("records of streams not sent")
			return err
		}
		c.recordCalls.Add("answered", 1)
		records = records[n:]
	}
	return nil
}

func (c *Client) callRecordStreams(ctx context.Context, host origin.Host, records []origin.Record) error {
	leader, err := c.currentLeader()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	now := c.opts.Now()
	req := &apiv1.RecordStreamsRequest{Host: host.Name, Incarnation: host.Incarnation}
	for _, r := range records {
		req.Streams = append(req.Streams, r.Proto(now))
	}
	resp, err := c.peer(leader).RecordStreams(ctx, req)
	switch {
	case err != nil:
		return fault.Wrap(err, fault.KindUnavailable, "the stream is not recorded", "send the request again").
			WithRun(fault.NotRun).After(findRetryAfter)
	case !resp.GetLeadership().GetLeading():
		return errNoLeader()
	case resp.GetFull():
		return fault.New(fault.KindOverloaded, "the leader has no room for records of streams", "send the request later").
			WithRun(fault.NotRun).After(findRetryAfter)
	}
	return nil
}

// currentLeader returns the address of the leader, or an error when none is known.
func (c *Client) currentLeader() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" || c.leaderLost {
		return "", errNoLeader()
	}
	return c.leader, nil
}

// resendStreams sends the records of this host to a leader that lacks them, once in its term.
func (c *Client) resendStreams(term uint64) {
	c.mu.Lock()
	resent := c.resentTerm == term
	c.resentTerm = term
	if !resent {
		c.unsent = nil // they are among all records
	}
	c.mu.Unlock()
	if resent {
		return
	}
	records := c.streams.All(c.opts.Now())
	c.queueRecords(records)
	c.signalRecords()
	c.log.Info().Str("event", "streams_sent_again").Uint64("term", term).Int("records", len(records)).
		Msg("the new leader gets the records of this host's streams")
}

// FindStream asks the leader which build began a stream. Only the leader can tell: this host's view
// may be older than the stream.
func (c *Client) FindStream(ctx context.Context, q origin.Query) (origin.Answer, error) {
	leader, err := c.currentLeader()
	if err != nil {
		return origin.Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	resp, err := c.peer(leader).FindStream(ctx, q.Proto())
	switch {
	case err != nil:
		return origin.Answer{}, fault.Wrap(err, fault.KindUnavailable, "the leader cannot be asked which build began the stream",
			"take the stream up again").WithRun(fault.NotRun).After(findRetryAfter)
	case !resp.GetLeadership().GetLeading():
		return origin.Answer{}, errNoLeader()
	}
	return origin.Answer{
		Known: resp.GetKnown(), Origin: origin.Origin{Service: resp.GetService(), Build: resp.GetBuild()},
		Reason: origin.Reason(resp.GetReason()),
	}, nil
}

// PruneStreams drops the records of streams that can no longer be taken up.
func (c *Client) PruneStreams() {
	now := c.opts.Now()
	c.streams.Prune(now)
	c.kept.Prune(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for h := range c.keptSent {
		if len(c.kept.Of(h, now)) == 0 {
			delete(c.keptSent, h)
		}
	}
}
