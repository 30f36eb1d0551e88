package consensus

import (
	"slices"
	"time"

	"plantainlane/wire"

	"github.com/cockroachdb/errors"
)

// Successor returns the ID of the best target for a leader transfer: the other voter with the highest match index
// among those that answered a round that began within the last election timeout. It returns an empty string if
// there is none.
func (n *Node) Successor(now time.Time) string {
	best, match := "", -1
	for _, r := range n.ReplicaStatuses(now) {
		if r.ID != n.cfg.ID && r.Voter && r.Answered && r.Match > match {
			best, match = r.ID, r.Match
		}
	}
	return best
}

// Transfer starts a leader transfer to another voter. Proposals are rejected until that voter is the leader or an
// election timeout has passed. Errors are ErrNotLeader, ErrTransferring and ErrMembership.
func (n *Node) Transfer(to string, now time.Time) error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.leadership.transferTo != "":
		return ErrTransferring
	case to == n.cfg.ID || !slices.Contains(n.replicas().Voters, to):
		return errors.Wrapf(ErrMembership, "transfer target %q is not another voter", to)
	}
	n.leadership.transferTo, n.leadership.transferStartedAt, n.leadership.timeoutNowSent = to, now, false
	return nil
}

// sendTimeoutNow asks the target of a leader transfer to start its election once its log matches the leader's
// whole log.
func (n *Node) sendTimeoutNow() {
	to := n.leadership.transferTo
	if to == "" || n.leadership.timeoutNowSent {
		return
	}
	p := n.leadership.progress[to]
	if p != nil && p.match == n.log.last() {
		n.leadership.timeoutNowSent = true
		n.send(n.message(kindTimeoutNow, to))
	}
}

// abortTransfer ends a leader transfer that took too long. If the target was already asked to start its election,
// it may still do so at any time, so the leader steps down.
func (n *Node) abortTransfer(now time.Time) {
	if n.leadership.timeoutNowSent {
		n.becomeFollower(n.hardState.Term, "", now)
		return
	}
	n.leadership.transferTo = ""
}

// handleTimeoutNow starts an election immediately, as asked by a leader that transfers its leadership.
func (n *Node) handleTimeoutNow(m wire.ConsensusMessage, now time.Time) {
	if m.Term == n.hardState.Term && n.role == Follower && n.isVoter(n.cfg.ID) {
		n.campaign(true, now)
	}
}
