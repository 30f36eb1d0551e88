package consensus

import (
	"slices"
	"time"

	"plantainlane/wire"

	"github.com/cockroachdb/errors"
)

// membership is the set of replicas that is active from the entry at index on.
type membership struct {
	index int
	set   wire.ReplicaSet
}

// replicas returns the newest membership in the log. A membership is active as soon as it is in the log, before
// it is committed.
func (n *Node) replicas() wire.ReplicaSet { return n.memberships[len(n.memberships)-1].set }

func (n *Node) isVoter(id string) bool { return slices.Contains(n.replicas().Voters, id) }

func (n *Node) isSoleVoter() bool {
	return len(n.replicas().Voters) == 1 && n.isVoter(n.cfg.ID)
}

// addMembership activates the membership in an entry. It ignores entries of other kinds, and returns ErrCorrupt
// if the membership can't be decoded.
func (n *Node) addMembership(e wire.LogEntry) error {
	if e.Kind != KindMembership {
		return nil
	}
	var set wire.ReplicaSet
	if err := wire.Decode(e.Data, &set); err != nil {
		return errors.Mark(errors.Wrapf(err, "decode membership at index %d", e.Index), ErrCorrupt)
	}
	n.memberships = append(n.memberships, membership{index: e.Index, set: set})
	return nil
}

// membershipAt returns the membership that is active at index.
func (n *Node) membershipAt(index int) wire.ReplicaSet {
	set := n.memberships[0].set
	for _, m := range n.memberships {
		if m.index <= index {
			set = m.set
		}
	}
	return set
}

// ProposeReplicas appends a membership and returns its index. Compared with the newest membership, it may add or
// remove at most one voter and any number of learners. A new voter must be a learner that has caught up. Errors
// are ErrNotLeader, ErrTransferring, ErrMembershipPending, ErrMembership and ErrNotCaughtUp; nothing was then
// appended.
func (n *Node) ProposeReplicas(set wire.ReplicaSet, now time.Time) (int, error) {
	switch {
	case n.role != Leader:
		return 0, ErrNotLeader
	case n.leadership.transferTo != "":
		return 0, ErrTransferring
	case !n.isLeaderReady() || n.memberships[len(n.memberships)-1].index > n.commit:
		return 0, ErrMembershipPending
	}
	if err := n.checkMembershipChange(set, now); err != nil {
		return 0, err
	}
	data, err := wire.Encode(cloneSet(set))
	if err != nil {
		return 0, err
	}
	index := n.appendEntry(KindMembership, data)
	if err := n.addMembership(n.log.entries[len(n.log.entries)-1]); err != nil {
		return 0, err
	}
	n.syncProgress()
	n.commitByQuorum()
	return index, nil
}

// checkMembershipChange returns ErrMembership or ErrNotCaughtUp unless set is a valid next membership.
func (n *Node) checkMembershipChange(set wire.ReplicaSet, now time.Time) error {
	old := n.replicas()
	all := slices.Concat(set.Voters, set.Learners)
	slices.Sort(all)
	if len(set.Voters) == 0 || len(slices.Compact(slices.Clone(all))) != len(all) || slices.Contains(all, "") {
		return errors.Wrapf(ErrMembership, "no voter, an empty replica ID, or a duplicate replica: voters %q, learners %q",
			set.Voters, set.Learners)
	}
	added, removed := difference(set.Voters, old.Voters), difference(old.Voters, set.Voters)
	if len(added)+len(removed) > 1 {
		return errors.Wrapf(ErrMembership, "more than one voter changes: added %q, removed %q", added, removed)
	}
	for _, id := range added {
		if !slices.Contains(old.Learners, id) {
			return errors.Wrapf(ErrMembership, "new voter %s is not a learner", id)
		}
		if !n.isCaughtUp(id, now) {
			return errors.Wrapf(ErrNotCaughtUp, "new voter %s", id)
		}
	}
	return nil
}

// difference returns the elements of a that are not in b.
func difference(a, b []string) []string {
	var out []string
	for _, id := range a {
		if !slices.Contains(b, id) {
			out = append(out, id)
		}
	}
	return out
}
