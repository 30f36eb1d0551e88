package control

import (
	"cmp"
	"slices"

	"plantainlane/wire"
)

// DefaultVoters is how many replicas vote unless the settings say otherwise.
const DefaultVoters = 3

// minZones is the number of zones from which on no zone may hold a majority of the voters.
const minZones = 3

// candidate is a replica that votes or might vote.
type candidate struct {
	replica string
	zone    string
	// usable tells that it is reachable, not draining and can store.
	usable  bool
	voter   bool
	learner bool
	// caughtUp tells that a learner may be promoted.
	caughtUp bool
	// answers tells that it takes part at present, draining or not.
	answers bool
}

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

// placeVoters chooses up to n voters, an odd number: usable ones, and among these the current ones. With
// three zones or more, none holds a majority. Voters that can't be replaced remain.
func placeVoters(candidates []candidate, n int) []string {
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.replica, b.replica))
	})
	zones, taken := map[string]int{}, []string{}
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
		if len(taken) < n && c.usable && (n == 1 || zones[c.zone] < limit) {
			zones[c.zone]++
			taken = append(taken, c.replica)
		}
	}
	for _, c := range candidates {
		if len(taken) < n && !c.usable && c.voter {
			taken = append(taken, c.replica)
		}
	}
	if len(taken) > 0 && len(taken) < n {
		// A smaller set, which leaves each zone fewer places.
		return placeVoters(candidates, len(taken)-1+len(taken)%2)
	}
	return taken
}

// membershipStep is one step from a membership towards the chosen voters.
type membershipStep struct {
	// set is the next membership, if change is true.
	set    wire.ReplicaSet
	change bool
	// transfer tells that the leader is to be removed and must hand over first.
	transfer bool
}

// nextMembership returns the next step. An even number of voters is left again as soon as possible: a lost
// voter goes just before its successor comes, any other just after, and a set grows by two at a time. No
// step is taken to a set of which no majority takes part at present.
func nextMembership(set wire.ReplicaSet, want []string, candidates []candidate, leader string) membershipStep {
	byID := map[string]candidate{}
	for _, c := range candidates {
		byID[c.replica] = c
	}
	missing, extra := without(want, set.Voters), without(set.Voters, want)
	if s := learnStep(set, missing); s.change {
		return s
	}
	ready := keep(missing, func(id string) bool { return byID[id].caughtUp })
	lost := keep(extra, func(id string) bool { return !byID[id].answers && !byID[id].usable })
	step := voterStep(set, missing, extra, ready, lost, leader)
	answering := keep(step.set.Voters, func(id string) bool { return byID[id].answers })
	if step.change && len(answering) <= len(step.set.Voters)/2 {
		return membershipStep{}
	}
	return step
}

// voterStep adds or removes one voter. Missing are wanted, of which ready have caught up; extra are no
// longer wanted, of which lost don't take part.
func voterStep(set wire.ReplicaSet, missing, extra, ready, lost []string, leader string) membershipStep {
	even := len(set.Voters)%2 == 0
	switch {
	case len(lost) > 0 && (even || len(ready) > 0 || len(missing) == 0):
		return removeStep(set, lost[0], leader)
	case len(ready) > 0 && (even || len(extra) > 0 || len(ready) > 1):
		return promoteStep(set, ready[0])
	case len(extra) > 0 && (even || len(missing) == 0):
		return removeStep(set, extra[0], leader)
	}
	return membershipStep{}
}

func keep(ids []string, keep func(string) bool) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !keep(id) })
}

// learnStep makes the missing voters learners, and drops learners that are no longer wanted.
func learnStep(set wire.ReplicaSet, missing []string) membershipStep {
	if len(without(missing, set.Learners)) == 0 && len(without(set.Learners, missing)) == 0 {
		return membershipStep{}
	}
	return membershipStep{change: true, set: wire.ReplicaSet{Voters: set.Voters, Learners: missing}}
}

func promoteStep(set wire.ReplicaSet, id string) membershipStep {
	return membershipStep{change: true, set: wire.ReplicaSet{
		Voters:   append(slices.Clone(set.Voters), id),
		Learners: without(set.Learners, []string{id}),
	}}
}

func removeStep(set wire.ReplicaSet, id, leader string) membershipStep {
	if id == leader {
		return membershipStep{transfer: true}
	}
	return membershipStep{change: true, set: wire.ReplicaSet{
		Voters:   without(set.Voters, []string{id}),
		Learners: set.Learners,
	}}
}

// without returns the members of a that b lacks, in a's order.
func without(a, b []string) []string {
	out := []string{}
	for _, id := range a {
		if !slices.Contains(b, id) {
			out = append(out, id)
		}
	}
	return out
}
