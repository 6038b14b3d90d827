package view

import (
	"bytes"
	"context"
	"time"

	"github.com/rs/zerolog"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// exchange sends one Sync request to the current source and returns the pause
// before the next exchange.
func (v *View) exchange(ctx context.Context, sent time.Time) time.Duration {
	v.returnToFirst(sent)
	req := v.request()
	callCtx, cancel := context.WithTimeout(ctx, v.timeout(req))
	resp, err := v.opts.Sources[v.source].Sync(callCtx, req)
	cancel()
	received := time.Now()
	if ctx.Err() != nil {
		return 0
	}
	before := v.Config().Revision
	if err == nil {
		err = v.applyResponse(resp, sent, received)
	}
	if err != nil {
		v.warnEvent().Err(err).Uint64("revision", before).Msg("sync failed")
		return v.failOver(received)
	}
	if v.failures > 0 {
		v.opts.Logger.Info().Int("failures", v.failures).Int("source", v.source).Msg("sync works again")
	}
	v.failures = 0
	if age := time.Duration(resp.GetAgeMs()) * time.Millisecond; age > v.opts.MaxSourceAge {
		v.warnEvent().Dur("age", age).Msg("the source has an old view")
		return v.failOver(received)
	}
	if v.Config().Revision != before || v.needFull {
		return 0
	}
	return v.opts.MinInterval - received.Sub(sent)
}

// timeout returns the timeout of one exchange. During repeated failures, every
// second round over the sources uses FullTimeout, because a large response over
// a slow link would never arrive within the short timeout.
func (v *View) timeout(req *apiv1.SyncRequest) time.Duration {
	if req.GetRevision() == 0 || v.failures/len(v.opts.Sources)%2 == 1 {
		return v.opts.FullTimeout
	}
	return v.opts.MaxHold + v.opts.Margin
}

// request returns a Sync request that confirms the revision in force or asks for
// the whole configuration.
func (v *View) request() *apiv1.SyncRequest {
	cfg := v.Config()
	req := &apiv1.SyncRequest{
		Cluster:   v.opts.Cluster,
		Host:      v.opts.Host,
		MaxHoldMs: uint32(v.opts.MaxHold.Milliseconds()),
	}
	if !v.needFull {
		req.Revision, req.Digest = cfg.Revision, cfg.Digest().Bytes()
	}
	return req
}

// warnEvent starts a log event about the current source. After the first round
// of failures its level is debug, because the event repeats several times a
// second during an outage.
func (v *View) warnEvent() *zerolog.Event {
	level := zerolog.WarnLevel
	if v.failures >= len(v.opts.Sources) {
		level = zerolog.DebugLevel
	}
	return v.opts.Logger.WithLevel(level).Int("source", v.source)
}

// failOver switches to the next source and returns the pause before the next
// exchange. It is not 0 after each failed round over all sources, and grows with
// the first rounds, so that the hosts do not overload a control host that
// restarts.
func (v *View) failOver(now time.Time) time.Duration {
	v.source = (v.source + 1) % len(v.opts.Sources)
	v.switchedAt = now
	v.failures++
	if v.failures%len(v.opts.Sources) == 0 {
		return v.opts.RetryPause * time.Duration(min(v.failures/len(v.opts.Sources), maxPauseFactor))
	}
	return 0
}

// returnToFirst switches back to the first source ReturnAfter after a failover.
func (v *View) returnToFirst(now time.Time) {
	if v.source != 0 && now.Sub(v.switchedAt) >= v.opts.ReturnAfter {
		v.source, v.switchedAt = 0, now
	}
}

// applyResponse applies a response to the view, or returns why it is rejected.
func (v *View) applyResponse(resp *apiv1.SyncResponse, sent, received time.Time) error {
	cfg := v.Config()
	if resp.GetRevision() < cfg.Revision {
		// The source is behind. Its response is also no evidence of how recent this
		// host's revision is, so the age is not updated.
		return fault.Newf(fault.KindUnavailable, "the next source is tried",
			"the source has revision %d, this host has %d", resp.GetRevision(), cfg.Revision).At("revision")
	}
	next, err := v.nextConfig(cfg, resp)
	if err != nil {
		return err
	}
	if !bytes.Equal(next.Digest().Bytes(), resp.GetDigest()) {
		return v.digestMismatch(next)
	}
	v.needFull = false
	v.store(next, resp, asOf(resp, sent, received))
	return nil
}

// digestMismatch makes the next exchange request the whole configuration and
// returns the error. The view stays as it is, and its age grows until then.
func (v *View) digestMismatch(next *config.Snapshot) error {
	v.needFull = true
	return fault.Newf(fault.KindInvalidMessage, "the whole configuration is requested",
		"the content at revision %d does not match its digest", next.Revision).At("digest")
}

// nextConfig returns the configuration that results from a response.
func (v *View) nextConfig(cfg *config.Snapshot, resp *apiv1.SyncResponse) (*config.Snapshot, error) {
	if full := resp.GetFull(); full != nil {
		if full.GetCluster() != v.opts.Cluster {
			return nil, fault.Newf(fault.KindWrongCluster, "correct the address of the source",
				"the source belongs to cluster %q", full.GetCluster()).At("cluster")
		}
		return config.FromManifest(full, resp.GetRevision()), nil
	}
	next := cfg
	var ops []*apiv1.Op
	revision := cfg.Revision
	for _, c := range resp.GetChanges() {
		if c.GetNumber() <= cfg.Revision {
			continue
		}
		if c.GetNumber() != revision+1 {
			v.needFull = true
			return nil, fault.Newf(fault.KindInvalidMessage, "the whole configuration is requested",
				"change %d follows revision %d", c.GetNumber(), revision).At("changes")
		}
		revision = c.GetNumber()
		ops = append(ops, c.GetOps()...)
	}
	if revision != resp.GetRevision() {
		v.needFull = true
		return nil, fault.Newf(fault.KindInvalidMessage, "the whole configuration is requested",
			"the changes lead to revision %d, not %d", revision, resp.GetRevision()).At("changes")
	}
	if revision > cfg.Revision {
		next = cfg.Apply(revision, ops)
	}
	return next, nil
}

// asOf returns a time, on this host's clock, at which the configuration of the
// response was in force. The source responded no earlier than held_ms after the
// request was sent, with a view that was age_ms old. A held_ms longer than the
// exchange is cut to its duration, since the source can't have held the request
// for longer.
func asOf(resp *apiv1.SyncResponse, sent, received time.Time) time.Time {
	held := min(time.Duration(resp.GetHeldMs())*time.Millisecond, received.Sub(sent))
	return sent.Add(held).Add(-time.Duration(resp.GetAgeMs()) * time.Millisecond)
}

func (v *View) store(next *config.Snapshot, resp *apiv1.SyncResponse, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.After(v.asOf) {
		v.asOf = at
	}
	if next == v.config {
		return
	}
	if resp.GetFull() != nil {
		v.recent = recentChanges{}
	} else {
		v.recent.add(resp.GetChanges(), v.config.Revision)
	}
	v.config = next
	close(v.changed)
	v.changed = make(chan struct{})
}
