package consensus

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// transfer is a leadership transfer in progress.
type transfer struct {
	to string
	// leaseEnd is the end of the last lease that Lease returned. The target is told
	// to start an election only then, because voters grant its vote requests
	// without checking for a lease.
	leaseEnd, deadline time.Time
	sent               bool
}

// TransferLeadership starts a transfer to the responding voter with the longest
// matching log. Lease returns zero during the transfer.
func (n *Node) TransferLeadership() error {
	if n.role != Leader {
		return fault.New(fault.KindNotLeader, "this host does not lead", "send the request to the leader").WithRun(fault.NotRun)
	}
	if n.transfer != nil {
		return nil
	}
	to := ""
	for _, id := range voters(n.Members()) {
		if id != n.id && n.isActive(id) && (to == "" || n.progress[id].match > n.progress[to].match) {
			to = id
		}
	}
	if to == "" {
		return fault.New(fault.KindUnavailable, "no other voter answers", "bring another voter up, or stop this host anyway")
	}
	end := n.now
	if lease := n.Lease(); lease.After(end) {
		end = lease
	}
	n.transfer = &transfer{to: to, leaseEnd: end, deadline: end.Add(n.cfg.ElectionTimeout)}
	return nil
}

// leaseReleased reports whether a transfer is in progress and the last lease has
// ended. From then on the leader accepts no proposals, so that the target can
// catch up and start an election.
func (n *Node) leaseReleased() bool {
	return n.transfer != nil && !n.now.Before(n.transfer.leaseEnd)
}

func (n *Node) tickTransfer() {
	t := n.transfer
	if !n.leaseReleased() {
		return
	}
	pr := n.progress[t.to]
	if !t.sent && pr != nil && pr.match == n.log.last() {
		t.sent = true
		n.send(&apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_TIMEOUT_NOW, To: t.to})
	}
	if n.now.Before(t.deadline) {
		return
	}
	if t.sent {
		// The request may still arrive, so this term can hold no lease again.
		n.becomeFollower(n.term, "")
		return
	}
	n.transfer = nil
}

// Transferring reports whether a leadership transfer is in progress.
func (n *Node) Transferring() bool { return n.transfer != nil }
