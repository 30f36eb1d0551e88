package control

import (
	"cmp"
	"slices"

	"plantainlane/wire"
)

// DefaultVoters is how many replicas vote unless the settings say otherwise.
const DefaultVoters = 3

// minZones is the number of availability zones from which on no single zone may hold a majority of the voters.
const minZones = 3

// candidate is a replica that is a voter or could become one.
type candidate struct {
	replica string
	zone    string
	// usable is set if the replica may vote; see Core.isUsable.
	usable  bool
	voter   bool
	learner bool
	// caughtUp is set if a learner has caught up with the log and may be promoted.
	caughtUp bool
	// responsive is set if the replica currently answers the leader, whether it is draining or not.
	responsive bool
	// superseded is set if the replica's instance holds another replica, so that this one is gone for good.
	superseded bool
}

// isSilent reports whether a voter has not answered for so long that it is to be replaced. It may be whole and come back.
func (c candidate) isSilent() bool { return !c.superseded && !c.responsive && !c.usable }

// rank orders the candidates for placeVoters: usable voters, usable learners, other usable replicas, the rest.
func (c candidate) rank() int {
	switch {
	case c.usable && c.voter:
		return 0
	case c.usable && c.learner:
		return 1
	case c.usable:
		return 2
	}
	return 3
}

// placeVoters returns an odd number of up to n voters, or none if no replica is usable or votes. It prefers usable
// replicas, and among these current voters and then learners. If there are usable replicas in at least minZones zones,
// the usable voters of one zone are no majority, unless n is 1. Current voters that can't be replaced remain, in any
// zone.
func placeVoters(candidates []candidate, n int) []string {
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.replica, b.replica))
	})
	zones, chosen := map[string]int{}, []string{}
	for _, c := range candidates {
		if c.usable {
			zones[c.zone] = 0
		}
	}
	limit := n
	if len(zones) >= minZones {
		limit = (n - 1) / 2
	}
	for _, c := range candidates {
		if len(chosen) < n && c.usable && (n == 1 || zones[c.zone] < limit) {
			zones[c.zone]++
			chosen = append(chosen, c.replica)
		}
	}
	for _, c := range candidates {
		if len(chosen) < n && !c.usable && c.voter {
			chosen = append(chosen, c.replica)
		}
	}
	if len(chosen) > 0 && len(chosen) < n {
		// Choose again with the next smaller odd number, for which the limit of each zone is lower.
		return placeVoters(candidates, len(chosen)-1+len(chosen)%2)
	}
	return chosen
}

// placeLearners returns the replicas that are to be learners beside the target voters: voters that don't vote yet, and up
// to half of the number of voters as standbys, which get the log beforehand so that a lost voter can be replaced without
// delay. Among usable replicas, it prefers current voters and learners.
func placeLearners(candidates []candidate, target, missing []string) []string {
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.replica, b.replica))
	})
	learners := slices.Clone(missing)
	standbys := len(target) / 2
	for _, c := range candidates {
		if standbys > 0 && c.usable && !c.voter && !slices.Contains(target, c.replica) {
			standbys--
			learners = append(learners, c.replica)
		}
	}
	return learners
}

// membershipStep is one step from a membership towards the target voters.
type membershipStep struct {
	// set is the next membership, if change is true.
	set    wire.ReplicaSet
	change bool
	// transfer is set if the leader is to be removed, so that its leadership must be transferred first.
	transfer bool
}

// nextMembership returns the next step from the membership set towards the target voters. leaderReplica is the ID of
// the leading replica. The steps keep an even number of voters as briefly as possible: a voter that is known to be gone is removed
// directly before its replacement is promoted, any other voter directly after, and a set grows only when two learners are ready.
// There is no step to a set in which no majority currently answers the leader.
//
// A voter that is merely silent counts until its replacement votes: if another one is lost meanwhile, without the leader knowing, the
// two that are left are a majority once the silent one is back. A set without it would need the lost one for good.
func nextMembership(set wire.ReplicaSet, target []string, candidates []candidate, leaderReplica string) membershipStep {
	byID := map[string]candidate{}
	for _, c := range candidates {
		byID[c.replica] = c
	}
	missing, extra := without(target, set.Voters), without(set.Voters, target)
	if s := learnerStep(set, placeLearners(candidates, target, missing)); s.change {
		return s
	}
	ready := filter(missing, func(id string) bool { return byID[id].caughtUp })
	gone := filter(extra, func(id string) bool { return byID[id].superseded })
	silent := filter(extra, func(id string) bool { return byID[id].isSilent() })
	step := voterStep(set, missing, extra, ready, gone, silent, leaderReplica)
	responsive := filter(step.set.Voters, func(id string) bool { return byID[id].responsive })
	if step.change && len(responsive) <= len(step.set.Voters)/2 {
		return membershipStep{}
	}
	return step
}

// voterStep returns the step that adds or removes one voter. missing are the target voters that don't vote yet, and
// ready those of them that have caught up. extra are the voters that aren't in the target, gone those of them that don't exist any
// more, and silent those that have not answered for long.
func voterStep(set wire.ReplicaSet, missing, extra, ready, gone, silent []string, leaderReplica string) membershipStep {
	even := len(set.Voters)%2 == 0
	switch {
	case len(gone) > 0 && (even || len(ready) > 0 || len(missing) == 0):
		return removeStep(set, gone[0], leaderReplica)
	case len(silent) > 0 && even:
		return removeStep(set, silent[0], leaderReplica)
	case len(ready) > 0 && (even || len(extra) > 0 || len(ready) > 1):
		return promoteStep(set, ready[0])
	case len(extra) > 0 && (even || len(missing) == 0):
		return removeStep(set, extra[0], leaderReplica)
	}
	return membershipStep{}
}

// filter returns the IDs for which matches returns true, in the same order. It doesn't change ids.
func filter(ids []string, matches func(string) bool) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !matches(id) })
}

// learnerStep returns the step that makes exactly the given replicas learners.
func learnerStep(set wire.ReplicaSet, learners []string) membershipStep {
	if len(without(learners, set.Learners)) == 0 && len(without(set.Learners, learners)) == 0 {
		return membershipStep{}
	}
	return membershipStep{change: true, set: wire.ReplicaSet{Voters: set.Voters, Learners: learners}}
}

// promoteStep returns the step that makes a learner a voter.
func promoteStep(set wire.ReplicaSet, id string) membershipStep {
	return membershipStep{change: true, set: wire.ReplicaSet{
		Voters:   append(slices.Clone(set.Voters), id),
		Learners: without(set.Learners, []string{id}),
	}}
}

// removeStep returns the step that removes a voter, or a transfer of the leadership if the voter leads.
func removeStep(set wire.ReplicaSet, id, leaderReplica string) membershipStep {
	if id == leaderReplica {
		return membershipStep{transfer: true}
	}
	return membershipStep{change: true, set: wire.ReplicaSet{
		Voters:   without(set.Voters, []string{id}),
		Learners: set.Learners,
	}}
}

// without returns the members of a that aren't in b, in the order of a.
func without(a, b []string) []string {
	out := []string{}
	for _, id := range a {
		if !slices.Contains(b, id) {
			out = append(out, id)
		}
	}
	return out
}
