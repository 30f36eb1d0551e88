package consensus

import (
	"slices"
	"time"

	"plantainlane/wire"

	"github.com/cockroachdb/errors"
)

// membership is the set of replicas from an index on.
type membership struct {
	index int
	set   wire.ReplicaSet
}

// replicas returns the newest membership in the log. It is in force as soon as it is in the log.
func (n *Node) replicas() wire.ReplicaSet { return n.members[len(n.members)-1].set }

func (n *Node) isVoter(id string) bool { return slices.Contains(n.replicas().Voters, id) }

func (n *Node) isSoleVoter() bool {
	return len(n.replicas().Voters) == 1 && n.isVoter(n.cfg.ID)
}

// noteMembership puts a membership entry in force.
func (n *Node) noteMembership(e wire.LogEntry) error {
	if e.Kind != KindMembership {
		return nil
	}
	var set wire.ReplicaSet
	if err := wire.Decode(e.Data, &set); err != nil {
		return errors.Mark(errors.Wrapf(err, "membership at %d", e.Index), ErrCorrupt)
	}
	n.members = append(n.members, membership{index: e.Index, set: set})
	return nil
}

// membershipAt returns the membership in force at index.
func (n *Node) membershipAt(index int) wire.ReplicaSet {
	set := n.members[0].set
	for _, m := range n.members {
		if m.index <= index {
			set = m.set
		}
	}
	return set
}

// ProposeReplicas appends a membership and returns its index. It may add or remove one voter, or learners;
// a new voter must be a learner that has caught up. Errors are ErrNotLeader, ErrTransferring,
// ErrMembershipPending, ErrMembership and ErrNotCaughtUp; nothing was then appended.
func (n *Node) ProposeReplicas(set wire.ReplicaSet, now time.Time) (int, error) {
	switch {
	case n.role != Leader:
		return 0, ErrNotLeader
	case n.lead.transferTo != "":
		return 0, ErrTransferring
	case !n.isLeaderReady() || n.members[len(n.members)-1].index > n.commit:
		return 0, ErrMembershipPending
	}
	if err := n.checkStep(set, now); err != nil {
		return 0, err
	}
	data, err := wire.Encode(cloneSet(set))
	if err != nil {
		return 0, err
	}
	index := n.appendOwn(KindMembership, data)
	if err := n.noteMembership(n.log.entries[len(n.log.entries)-1]); err != nil {
		return 0, err
	}
	n.syncProgress()
	n.commitByQuorum()
	return index, nil
}

func (n *Node) checkStep(set wire.ReplicaSet, now time.Time) error {
	old := n.replicas()
	all := slices.Concat(set.Voters, set.Learners)
	slices.Sort(all)
	if len(set.Voters) == 0 || len(slices.Compact(slices.Clone(all))) != len(all) || slices.Contains(all, "") {
		return errors.Wrap(ErrMembership, "no voter, or a replica twice")
	}
	added, removed := difference(set.Voters, old.Voters), difference(old.Voters, set.Voters)
	if len(added)+len(removed) > 1 {
		return errors.Wrap(ErrMembership, "more than one voter changes")
	}
	for _, id := range added {
		if !slices.Contains(old.Learners, id) {
			return errors.Wrapf(ErrMembership, "new voter %s is no learner", id)
		}
		if !n.isCaughtUp(id, now) {
			return errors.Wrapf(ErrNotCaughtUp, "replica %s", id)
		}
	}
	return nil
}

func difference(a, b []string) []string {
	var out []string
	for _, id := range a {
		if !slices.Contains(b, id) {
			out = append(out, id)
		}
	}
	return out
}
