package state

import (
	"bytes"
	"fmt"
	"unicode/utf8"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/manifest"
)

const (
	// maxProblems limits the problems listed in one response.
	maxProblems = 50
	// maxAuthorBytes limits the author's name, which is stored with each number.
	maxAuthorBytes = 128
)

// applyChange accepts or refuses a numbered change. Every change must have the next
// number, so that of two concurrent changes one is accepted and the other conflicts.
func (m *Machine) applyChange(c *apiv1.ChangeCommand) *apiv1.ApplyResponse {
	digest := manifest.DigestChange(c)
	next := m.config.Revision + 1
	resp := &apiv1.ApplyResponse{Number: c.GetNumber(), Revision: m.config.Revision}
	if c.GetNumber() != next {
		m.respondToNumberMismatch(resp, digest, next)
		return resp
	}
	ops, err := m.checkChange(c)
	if err != nil {
		resp.Outcome = apiv1.ApplyOutcome_APPLY_OUTCOME_INVALID
		resp.Message = problemMessage(err)
		return resp
	}
	m.accept(&apiv1.Change{
		Number: next, Digest: digest, Ops: ops, AcceptedUnixMs: m.clockUnixMs, Author: c.GetAuthor(),
	})
	resp.Outcome = apiv1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED
	resp.Revision = next
	resp.InForceDigest = digest
	resp.InForceAuthor = c.GetAuthor()
	return resp
}

// respondToNumberMismatch sets the outcome of a change whose number is not the next
// one: already accepted if the same change has this number, else a conflict.
func (m *Machine) respondToNumberMismatch(resp *apiv1.ApplyResponse, digest []byte, next uint64) {
	resp.Outcome = apiv1.ApplyOutcome_APPLY_OUTCOME_CONFLICT
	inForce, ok := m.history.receipt(resp.GetNumber())
	switch {
	case resp.GetNumber() == 0 || resp.GetNumber() > next:
		resp.Message = fmt.Sprintf("number: revision %d is in force; send the change with number %d", m.config.Revision, next)
	case !ok:
		resp.Message = fmt.Sprintf("number: change %d was accepted before the oldest kept number %d; "+
			"read the manifest in force and send the change with number %d", resp.GetNumber(), m.history.oldest(), next)
	case bytes.Equal(inForce.GetDigest(), digest):
		resp.Outcome = apiv1.ApplyOutcome_APPLY_OUTCOME_ALREADY_ACCEPTED
		resp.InForceDigest, resp.InForceAuthor = inForce.GetDigest(), inForce.GetAuthor()
	default:
		resp.InForceDigest, resp.InForceAuthor = inForce.GetDigest(), inForce.GetAuthor()
		resp.Message = fmt.Sprintf("number: change %d by %q with digest %x is in force; "+
			"compare with the manifest in force and send the change with number %d",
			resp.GetNumber(), inForce.GetAuthor(), inForce.GetDigest(), next)
	}
}

// checkChange returns the ops of a valid change.
func (m *Machine) checkChange(c *apiv1.ChangeCommand) ([]*apiv1.Op, error) {
	if m.config.Cluster == "" {
		return nil, invalid("cluster", "wait until the cluster has a leader", "the cluster is not initialized")
	}
	if len(c.GetAuthor()) > maxAuthorBytes || !utf8.ValidString(c.GetAuthor()) {
		return nil, invalid("author", "use at most 128 bytes of UTF-8", "the author is too long or not valid UTF-8")
	}
	if c.GetManifest() == nil {
		return c.GetOps(), m.index.Check(m.config, c.GetOps())
	}
	if len(c.GetOps()) > 0 {
		return nil, invalid("ops", "send either a manifest or ops", "the change has a manifest and ops")
	}
	return m.checkManifest(c.GetManifest())
}

func (m *Machine) checkManifest(next *apiv1.Manifest) ([]*apiv1.Op, error) {
	if next.GetCluster() != m.config.Cluster {
		return nil, invalid("cluster", fmt.Sprintf("apply the manifest of cluster %q", m.config.Cluster),
			fmt.Sprintf("the manifest is for cluster %q", next.GetCluster()))
	}
	if err := manifest.Check(next); err != nil {
		return nil, err
	}
	if err := manifest.CheckManifest(m.config, next); err != nil {
		return nil, err
	}
	return manifest.Diff(m.config, next), nil
}

func invalid(field, remedy, message string) error {
	return fault.New(fault.KindInvalidManifest, message, remedy).At(field)
}

func problemMessage(err error) string {
	if problems, ok := err.(manifest.Problems); ok {
		return problems.Summary(maxProblems)
	}
	return err.Error()
}

// accept puts a valid change in force.
func (m *Machine) accept(c *apiv1.Change) {
	m.index.Update(m.config, c.GetOps())
	m.config = m.config.Apply(c.GetNumber(), c.GetOps())
	m.history.add(c)
	m.notify()
}
