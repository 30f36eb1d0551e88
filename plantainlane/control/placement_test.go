package control

import (
	"testing"

	"github.com/matryer/is"

	"plantainlane/wire"
)

func usable(replica, zone string, voter bool) candidate {
	return candidate{replica: replica, zone: zone, usable: true, voter: voter, answers: true}
}

func gone(replica, zone string) candidate {
	return candidate{replica: replica, zone: zone, voter: true}
}

func TestPlaceVoters(t *testing.T) {
	tests := []struct {
		name       string
		candidates []candidate
		n          int
		want       []string
	}{
		{"current voters stay", []candidate{usable("a", "1", true), usable("b", "2", true), usable("c", "3", true), usable("0", "1", false)}, 3, []string{"a", "b", "c"}},
		{"a lost voter is replaced", []candidate{usable("a", "1", true), usable("b", "2", true), gone("c", "3"), usable("d", "3", false)}, 3, []string{"a", "b", "d"}},
		{"without a spare it stays", []candidate{usable("a", "1", true), usable("b", "2", true), gone("c", "3")}, 3, []string{"a", "b", "c"}},
		{"no zone of three has a majority", []candidate{usable("a", "1", true), usable("b", "1", true), usable("c", "2", true), usable("d", "3", false)}, 3, []string{"a", "c", "d"}},
		{"two zones can't avoid one", []candidate{usable("a", "1", true), usable("b", "1", false), usable("c", "2", false)}, 3, []string{"a", "b", "c"}},
		{"an even number is avoided", []candidate{usable("a", "1", true), usable("b", "2", false)}, 3, []string{"a"}},
		{"five over three zones", []candidate{usable("a", "1", true), usable("b", "1", false), usable("c", "1", false), usable("d", "2", false), usable("e", "3", false)}, 5, []string{"a", "d", "e"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(placeVoters(tt.candidates, tt.n), tt.want)
		})
	}
}

func TestNextMembership(t *testing.T) {
	ready := func(replica, zone string) candidate {
		c := usable(replica, zone, false)
		c.learner, c.caughtUp = true, true
		return c
	}
	draining := candidate{replica: "b", zone: "2", voter: true, answers: true}
	a, c, d, e := usable("a", "1", true), usable("c", "3", true), ready("d", "3"), ready("e", "2")
	set := func(voters, learners []string) wire.ReplicaSet {
		return wire.ReplicaSet{Voters: voters, Learners: learners}
	}
	abc, none := []string{"a", "b", "c"}, []string{}
	tests := []struct {
		name       string
		set        wire.ReplicaSet
		want       []string
		candidates []candidate
		leader     string
		next       membershipStep
	}{
		{
			"a spare learns first", set(abc, none),
			[]string{"a", "b", "d"},
			[]candidate{a, usable("b", "2", true), gone("c", "3"), usable("d", "3", false)},
			"a",
			membershipStep{change: true, set: set(abc, []string{"d"})},
		},
		{
			"a lost voter goes before its successor comes", set(abc, []string{"d"}),
			[]string{"a", "b", "d"},
			[]candidate{a, usable("b", "2", true), gone("c", "3"), d},
			"a",
			membershipStep{change: true, set: set([]string{"a", "b"}, []string{"d"})},
		},
		{
			"a draining voter goes after", set(abc, []string{"e"}),
			[]string{"a", "c", "e"},
			[]candidate{a, draining, c, e},
			"a",
			membershipStep{change: true, set: set([]string{"a", "b", "c", "e"}, none)},
		},
		{
			"the dead goes before the draining", set(abc, []string{"d", "e"}),
			[]string{"a", "d", "e"},
			[]candidate{a, draining, gone("c", "3"), d, e},
			"a",
			membershipStep{change: true, set: set([]string{"a", "b"}, []string{"d", "e"})},
		},
		{
			"no step without an answering majority", set([]string{"a", "b", "c"}, []string{"d"}),
			[]string{"a", "b", "d"},
			[]candidate{a, {replica: "b", zone: "2", voter: true, usable: true}, gone("c", "3"), d},
			"a",
			membershipStep{},
		},
		{
			"a leader hands over before it goes", set([]string{"a", "b", "c", "e"}, none),
			[]string{"a", "c", "e"},
			[]candidate{a, draining, c, usable("e", "2", true)},
			"b",
			membershipStep{transfer: true},
		},
		{
			"one does not grow to two alone", set([]string{"a"}, []string{"d", "e"}),
			[]string{"a", "d", "e"},
			[]candidate{a, d, usable("e", "2", false)},
			"a",
			membershipStep{},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(nextMembership(tt.set, tt.want, tt.candidates, tt.leader), tt.next)
		})
	}
}
