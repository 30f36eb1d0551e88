package consensus

import (
	"time"

	"plantainlane/wire"

	"github.com/cockroachdb/errors"
)

// Successor returns the voter that has answered most lately with the longest log, or an empty string.
func (n *Node) Successor(now time.Time) string {
	best, match := "", -1
	for _, r := range n.ReplicaStatuses(now) {
		if r.ID != n.cfg.ID && r.Voter && r.Answered && r.Match > match {
			best, match = r.ID, r.Match
		}
	}
	return best
}

// Transfer hands leadership to another voter. Proposals are refused until it took over or an election
// timeout passed. Errors are ErrNotLeader, ErrTransferring and ErrMembership.
func (n *Node) Transfer(to string, now time.Time) error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.lead.transferTo != "":
		return ErrTransferring
	case to == n.cfg.ID || !n.isVoter(to):
		return errors.Wrapf(ErrMembership, "%q is no other voter", to)
	}
	n.lead.transferTo, n.lead.transferAt, n.lead.asked = to, now, false
	return nil
}

// askSuccessor starts the successor's election once it has the whole log.
func (n *Node) askSuccessor() {
	to := n.lead.transferTo
	if to == "" || n.lead.asked {
		return
	}
	p := n.lead.progress[to]
	if p != nil && p.match == n.log.last() {
		n.lead.asked = true
		n.send(n.message(kindTimeoutNow, to))
	}
}

// endTransfer gives up on a successor. One that was asked may still start its election at any time, so the
// leader then steps down.
func (n *Node) endTransfer(now time.Time) {
	if n.lead.asked {
		n.becomeFollower(n.hard.Term, "", now)
		return
	}
	n.lead.transferTo = ""
}

func (n *Node) handleTimeoutNow(m wire.ConsensusMessage, now time.Time) {
	if m.Term == n.hard.Term && n.role == Follower && n.isVoter(n.cfg.ID) {
		n.campaign(true, now)
	}
}
