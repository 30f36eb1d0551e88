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

// isChanging reports whether the newest membership is a change of the voters that isn't complete.
func (n *Node) isChanging() bool { return len(n.replicas().PreviousVoters) > 0 }

// voterSets returns the sets of voters of which a majority is a quorum: the voters and, while a change of them isn't
// complete, also the previous voters. The sets differ by one voter, so that any two quorums have a voter in common.
func (n *Node) voterSets() [][]string {
	set := n.replicas()
	if len(set.PreviousVoters) == 0 {
		return [][]string{set.Voters}
	}
	return [][]string{set.Voters, set.PreviousVoters}
}

// allVoters returns the members of all voterSets.
func (n *Node) allVoters() []string {
	set := n.replicas()
	return slices.Concat(set.Voters, difference(set.PreviousVoters, set.Voters))
}

func (n *Node) isVoter(id string) bool { return slices.Contains(n.allVoters(), id) }

func (n *Node) isSoleVoter() bool {
	return len(n.allVoters()) == 1 && n.isVoter(n.cfg.ID)
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
// remove at most one voter and any number of learners. A new voter must be a learner that has caught up. PreviousVoters
// of the given set are ignored: a change of the voters keeps the previous ones until endChange. Errors are
// ErrNotLeader, ErrTransferring, ErrMembershipPending, ErrMembership and ErrNotCaughtUp; nothing was then appended.
func (n *Node) ProposeReplicas(set wire.ReplicaSet, now time.Time) (int, error) {
	switch {
	case n.role != Leader:
		return 0, ErrNotLeader
	case n.leadership.transferTo != "":
		return 0, ErrTransferring
	case !n.isLeaderReady() || n.memberships[len(n.memberships)-1].index > n.commit || n.isChanging():
		return 0, ErrMembershipPending
	}
	if err := n.checkMembershipChange(set, now); err != nil {
		return 0, err
	}
	set.PreviousVoters = nil
	if old := n.replicas().Voters; len(difference(set.Voters, old))+len(difference(old, set.Voters)) > 0 {
		set.PreviousVoters = old
	}
	return n.appendMembership(set)
}

// appendMembership appends a membership as the leader and returns its index.
func (n *Node) appendMembership(set wire.ReplicaSet) (int, error) {
	data, err := wire.Encode(cloneSet(set))
	if err != nil {
		return 0, err
	}
	index := n.appendEntry(KindMembership, data)
	if err := n.addMembership(n.log.entries[len(n.log.entries)-1]); err != nil {
		return 0, err
	}
	n.leadership.changeRound = round{}
	n.syncProgress()
	n.commitByQuorum()
	return index, nil
}

// endChange ends a change of the voters that is known to be committed: with the new voters once a majority of them has
// it and answers a round that began after that, otherwise with the previous ones after an election timeout. Until then a
// majority of either is a quorum, so that the change needs no majority of the new voters before it is known to be
// committed. Answers to earlier rounds may be from voters that were lost before.
func (n *Node) endChange(now time.Time) {
	newest := n.memberships[len(n.memberships)-1]
	if n.role != Leader || !n.isChanging() || newest.index > n.commit || !n.isLeaderReady() || n.leadership.transferTo != "" {
		return
	}
	if n.leadership.changeRound.number == 0 {
		n.startRound(now)
		n.leadership.changeRound = n.newestRound()
	}
	follows := func(id string) bool {
		p := n.leadership.progress[id]
		return p.match >= newest.index && p.answeredRound >= n.leadership.changeRound.number && n.hasAnswered(id, now)
	}
	set := newest.set
	previous := set.PreviousVoters
	set.PreviousVoters = nil
	switch {
	case isMajority(set.Voters, follows):
	case now.Sub(n.leadership.changeRound.startedAt) >= n.cfg.ElectionTimeout && isMajority(previous, follows):
		// A voter that was to be added stays a learner.
		set.Learners = difference(slices.Concat(set.Learners, difference(set.Voters, previous)), previous)
		set.Voters = previous
	default:
		return
	}
	if _, err := n.appendMembership(set); err != nil {
		panic(err)
	}
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
