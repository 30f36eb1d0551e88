package control

import (
	"testing"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// usable returns a usable replica that responds.
func usable(replica, zone string, voter bool) candidate {
	return candidate{replica: replica, zone: zone, usable: true, voter: voter, responsive: true}
}

// lostVoter returns a voter that is not usable and doesn't respond.
func lostVoter(replica, zone string) candidate {
	return candidate{replica: replica, zone: zone, voter: true}
}

// goneVoter returns a voter whose instance holds another replica.
func goneVoter(replica, zone string) candidate {
	return candidate{replica: replica, zone: zone, voter: true, superseded: true}
}

// TestPlaceVoters guards against sets of voters that a single failure could leave without a quorum: a majority in one
// of three zones, a lost voter that isn't replaced, or an even number of voters.
func TestPlaceVoters(t *testing.T) {
	tests := []struct {
		name       string
		candidates []candidate
		n          int
		want       []string
	}{
		{"current voters stay", []candidate{usable("a", "1", true), usable("b", "2", true), usable("c", "3", true), usable("0", "1", false)}, 3, []string{"a", "b", "c"}},
		{"a lost voter is replaced", []candidate{usable("a", "1", true), usable("b", "2", true), lostVoter("c", "3"), usable("d", "3", false)}, 3, []string{"a", "b", "d"}},
		{"a lost voter stays without a spare", []candidate{usable("a", "1", true), usable("b", "2", true), lostVoter("c", "3")}, 3, []string{"a", "b", "c"}},
		{"no zone has a majority with three zones", []candidate{usable("a", "1", true), usable("b", "1", true), usable("c", "2", true), usable("d", "3", false)}, 3, []string{"a", "c", "d"}},
		{"one zone has a majority with two zones", []candidate{usable("a", "1", true), usable("b", "1", false), usable("c", "2", false)}, 3, []string{"a", "b", "c"}},
		{"two usable replicas give one voter", []candidate{usable("a", "1", true), usable("b", "2", false)}, 3, []string{"a"}},
		{"three voters if the zones allow only four of five", []candidate{usable("a", "1", true), usable("b", "1", false), usable("c", "1", false), usable("d", "2", false), usable("e", "3", false)}, 5, []string{"a", "d", "e"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(placeVoters(tt.candidates, tt.n), tt.want)
		})
	}
}

// TestNextMembership guards against steps between memberships that risk the quorum: a voter that hasn't caught up, an
// even number of voters for longer than needed, or a set in which no majority responds.
func TestNextMembership(t *testing.T) {
	ready := func(replica, zone string) candidate {
		c := usable(replica, zone, false)
		c.learner, c.caughtUp = true, true
		return c
	}
	draining := candidate{replica: "b", zone: "2", voter: true, responsive: true}
	a, c, d, e := usable("a", "1", true), usable("c", "3", true), ready("d", "3"), ready("e", "2")
	set := func(voters, learners []string) wire.ReplicaSet {
		return wire.ReplicaSet{Voters: voters, Learners: learners}
	}
	abc, none := []string{"a", "b", "c"}, []string{}
	tests := []struct {
		name       string
		set        wire.ReplicaSet
		target     []string
		candidates []candidate
		leader     string
		want       membershipStep
	}{
		{
			"a spare first becomes a learner", set(abc, none),
			[]string{"a", "b", "d"},
			[]candidate{a, usable("b", "2", true), lostVoter("c", "3"), usable("d", "3", false)},
			"a",
			membershipStep{change: true, set: set(abc, []string{"d"})},
		},
		{
			"a silent voter stays until its replacement is promoted", set(abc, []string{"d"}),
			[]string{"a", "b", "d"},
			[]candidate{a, usable("b", "2", true), lostVoter("c", "3"), d},
			"a",
			membershipStep{change: true, set: set([]string{"a", "b", "c", "d"}, none)},
		},
		{
			"a silent voter is removed once its replacement votes", set([]string{"a", "b", "c", "d"}, none),
			[]string{"a", "b", "d"},
			[]candidate{a, usable("b", "2", true), lostVoter("c", "3"), usable("d", "3", true)},
			"a",
			membershipStep{change: true, set: set([]string{"a", "b", "d"}, none)},
		},
		{
			"a voter that is gone is removed before its replacement is promoted", set(abc, []string{"d"}),
			[]string{"a", "b", "d"},
			[]candidate{a, usable("b", "2", true), goneVoter("c", "3"), d},
			"a",
			membershipStep{change: true, set: set([]string{"a", "b"}, []string{"d"})},
		},
		{
			"a draining voter stays until its replacement is promoted", set(abc, []string{"e"}),
			[]string{"a", "c", "e"},
			[]candidate{a, draining, c, e},
			"a",
			membershipStep{change: true, set: set([]string{"a", "b", "c", "e"}, none)},
		},
		{
			"a voter that is gone is removed before a draining voter", set(abc, []string{"d", "e"}),
			[]string{"a", "d", "e"},
			[]candidate{a, draining, goneVoter("c", "3"), d, e},
			"a",
			membershipStep{change: true, set: set([]string{"a", "b"}, []string{"d", "e"})},
		},
		{
			"a silent voter is removed before a draining voter", set([]string{"a", "b", "c", "d"}, []string{"e"}),
			[]string{"a", "d", "e"},
			[]candidate{a, draining, lostVoter("c", "3"), usable("d", "3", true), e},
			"a",
			membershipStep{change: true, set: set([]string{"a", "b", "d"}, []string{"e"})},
		},
		{
			"no step to a set without a responsive majority", set([]string{"a", "b", "c"}, []string{"d"}),
			[]string{"a", "b", "d"},
			[]candidate{a, {replica: "b", zone: "2", voter: true, usable: true}, lostVoter("c", "3"), d},
			"a",
			membershipStep{},
		},
		{
			"a leader transfers its leadership before its removal", set([]string{"a", "b", "c", "e"}, none),
			[]string{"a", "c", "e"},
			[]candidate{a, draining, c, usable("e", "2", true)},
			"b",
			membershipStep{transfer: true},
		},
		{
			"one voter does not grow to two with only one learner ready", set([]string{"a"}, []string{"d", "e"}),
			[]string{"a", "d", "e"},
			[]candidate{a, d, usable("e", "2", false)},
			"a",
			membershipStep{},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(nextMembership(tt.set, tt.target, tt.candidates, tt.leader), tt.want)
		})
	}
}
