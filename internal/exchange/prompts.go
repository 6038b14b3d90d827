package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/prompts"
)

const (
	// bookTimeout limits one booking. Without an answer a prompt is sent at once.
	bookTimeout = 30 * time.Millisecond
	// ownerPause is how long a control host that did not answer owns no ledgers for this host.
	ownerPause = 2 * time.Second
	// maxMeasurements limits the measurements that wait for the next booking with an owner.
	maxMeasurements = 16
)

// BookPrompt asks the owner of the engine's ledger when a prompt may be sent.
func (c *Client) BookPrompt(ctx context.Context, b prompts.Booking) (prompts.Slot, error) {
	owner := c.ownerOf(b.Instance)
	if owner == "" {
		return prompts.Slot{}, errNoLeader()
	}
	req := &apiv1.BookPromptRequest{
		Instance: b.Instance, Tokens: uint32(max(0, b.Tokens)), MaxWaitUs: uint32(max(0, b.MaxWait).Microseconds()),
		Measured: c.takeMeasurements(owner),
	}
	callCtx, cancel := context.WithTimeout(ctx, bookTimeout)
	defer cancel()
	resp, err := c.peer(owner).BookPrompt(callCtx, req)
	if err != nil {
		if ctx.Err() == nil {
			c.pauseOwner(owner)
		}
		return prompts.Slot{}, err
	}
	return prompts.Slot{Booked: resp.GetBooked(), Wait: time.Duration(resp.GetWaitUs()) * time.Microsecond}, nil
}

// MeasurePrompt has the owner of the engine's ledger told how long the engine took for a prompt.
func (c *Client) MeasurePrompt(m prompts.Measurement) {
	owner := c.ownerOf(m.Instance)
	c.mu.Lock()
	defer c.mu.Unlock()
	if list := c.measurements[owner]; owner != "" && len(list) < maxMeasurements {
		c.measurements[owner] = append(list, &apiv1.MeasuredPrompt{
			Instance: m.Instance, Tokens: uint32(max(0, m.Tokens)), TookUs: uint32(min(max(0, m.Took), time.Minute).Microseconds()),
		})
	}
}

func (c *Client) takeMeasurements(owner string) []*apiv1.MeasuredPrompt {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.measurements[owner]
	delete(c.measurements, owner)
	return list
}

// ownerOf returns the control host that owns the engine's ledger, by rendezvous hashing over those that answer. The
// leader, whose work limits a large fleet, owns one only if there is no other. It is empty while none is known.
func (c *Client) ownerOf(instance string) string {
	now := c.opts.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	best, highest := "", uint64(0)
	for _, address := range c.members {
		if now.Before(c.ownerPausedUntil[address]) {
			continue
		}
		h := xxhash.Sum64String(address+"\x00"+instance) >> 1
		if address != c.leader {
			h |= notLeading
		}
		if best == "" || h > highest {
			best, highest = address, h
		}
	}
	return best
}

// notLeading makes the hash of a control host that does not lead higher than any of the leader.
const notLeading = 1 << 63

// pauseOwner has the ledgers of a control host that does not answer owned by others for a while.
func (c *Client) pauseOwner(address string) {
	now := c.opts.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.members, address) {
		return
	}
	c.ownerPausedUntil[address] = now.Add(ownerPause)
	delete(c.measurements, address)
}
