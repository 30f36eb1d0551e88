package batch

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
	"plantainlane/wire"
)

// zonedUpstreams returns upstreams in zones named a, b, c and so on, as many in each as given.
func zonedUpstreams(counts ...int) []Upstream {
	var zones []string
	for i, n := range counts {
		for range n {
			zones = append(zones, string(rune('a'+i)))
		}
	}
	return upstreams(zones...)
}

// TestZoneWithFewUpstreamsHasOwnQueue guards against jobs that wait for the few upstreams of a zone while others are free, and
// against queues that come and go with single upstreams.
func TestZoneWithFewUpstreamsHasOwnQueue(t *testing.T) {
	is := is.New(t)
	unclaimed, claimed := func(string) bool { return false }, func(string) bool { return true }
	tests := []struct {
		counts  []int
		claimed func(string) bool
		zones   map[string]int
		others  int
	}{
		{[]int{9, 9, 8}, unclaimed, map[string]int{"a": 9, "b": 9, "c": 8}, 0},
		{[]int{2, 2, 1}, unclaimed, map[string]int{}, 5},
		{[]int{9, 5, 2}, unclaimed, map[string]int{"a": 9}, 7},
		{[]int{9, 5, 2}, claimed, map[string]int{"a": 9, "b": 5}, 2},
		{nil, claimed, map[string]int{}, 0},
	}
	for _, tt := range tests {
		l := newLayout(zonedUpstreams(tt.counts...), tt.claimed)
		is.Equal(l.zones, tt.zones)
		is.Equal(l.others, tt.others)
	}
	leaving := zonedUpstreams(6)
	leaving[0].Leaving = true
	l := newLayout(leaving, unclaimed)
	is.Equal(l.others, 5)
}

// largeMembers returns the members of a site with five zones: in each one machine that serves control, and 39 others. The
// first one's replica leads.
func largeMembers() []Member {
	var members []Member
	for i := range 200 {
		m := Member{ID: fmt.Sprint("m", i), Zone: string(rune('a' + i%5)), Cores: 0.192}
		if i < 5 {
			m.Cores, m.BesideControl, m.BesideLeader = 0.512, true, i == 0
		}
		members = append(members, m)
	}
	return members
}

// TestFewMachinesOwnQueuesOfAllZones guards against queues that gather on one machine, on the one that leads, or on machines
// whose share of a core makes each call take longer, while others could own them.
func TestFewMachinesOwnQueuesOfAllZones(t *testing.T) {
	is := is.New(t)
	members := largeMembers()
	owned := make(map[string]int)
	for _, service := range []string{"catalogue", "audio", "notices"} {
		for _, zone := range []string{"a", "b", "c", "d", "e"} {
			owner := Owner(service, zone, members)
			owned[owner]++
			for i := range members {
				if members[i].ID == owner {
					is.True(members[i].Cores >= minOwnerCores)
					is.True(!members[i].BesideLeader)
					is.True(zone == "a" || members[i].Zone == zone) // the leader is in zone a
					claims := members[i].Owns + "&" + ownerships{queueID{service, zone}.String(): 1}.String()
					members[i].Owns = strings.TrimPrefix(claims, "&")
				}
			}
		}
	}
	is.Equal(len(owned), 4)
	for _, n := range owned {
		is.True(n <= 4)
	}
	// Of machines with the same share, those that serve no control are taken.
	for i := range members {
		members[i].Cores = 0.512
		members[i].Owns = ""
	}
	for i := range members {
		is.True(members[i].ID != Owner("catalogue", "b", members) || !members[i].BesideControl)
	}
}

// newZonedDispatcher returns a dispatcher in zone a of services with as many upstreams in each zone as given.
func newZonedDispatcher(t *testing.T, counts ...int) *Dispatcher {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	n := &network{dispatchers: make(map[string]*Dispatcher), unreachable: make(map[string]bool), owns: make(map[string]string)}
	source := func(string) Source {
		return func() (site.Batch, []Upstream, bool) { return spec, zonedUpstreams(counts...), true }
	}
	n.dispatchers["i"] = NewDispatcher(ctx, "i", "a", 0, memberPeers{n, "i"}, &fakeExecutor{}, source)
	return n.dispatchers["i"]
}

// TestJobsWaitInLongQueueOfZone guards against jobs that wait in the queue of their zone while another zone's is much
// shorter, and against jobs whose inputs cross zones to save little.
func TestJobsWaitInLongQueueOfZone(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		zone       string
		crossBytes int
		answer     wire.PieceAnswer
		want       []string
	}{
		"own zone":                 {"", 0, wire.PieceAnswer{}, []string{"a"}},
		"zone of the inputs":       {"b", 100, wire.PieceAnswer{}, []string{"b"}},
		"longer, but not by much":  {"b", 0, wire.PieceAnswer{WaitMs: 100, OtherZone: "c"}, []string{"b"}},
		"much longer":              {"b", 0, wire.PieceAnswer{WaitMs: 1000, OtherZone: "c", OtherWaitMs: 800}, []string{"c"}},
		"all are long":             {"b", 0, wire.PieceAnswer{WaitMs: 1000, OtherZone: "c", OtherWaitMs: 900}, []string{"b"}},
		"no other":                 {"b", 0, wire.PieceAnswer{WaitMs: 1000}, []string{"b"}},
		"other has ended":          {"b", 0, wire.PieceAnswer{WaitMs: 1000, OtherZone: "x"}, []string{"b"}},
		"inputs that are dear":     {"b", 3_000_000, wire.PieceAnswer{WaitMs: 400, OtherZone: "c"}, []string{"b"}},
		"a zone with no upstreams": {"x", 0, wire.PieceAnswer{}, []string{"a", "b", "c"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newZonedDispatcher(t, 9, 9, 9)
			d.recordAnswer(queueID{"encode", "b"}, &tt.answer)
			j := Job{Zone: tt.zone, CrossBytes: tt.crossBytes, Due: now.Add(time.Second)}
			seen := make(map[string]bool)
			for range 200 {
				seen[d.queueFor("encode", &j, now).zone] = true
			}
			is.Equal(len(seen), len(tt.want))
			for _, zone := range tt.want {
				is.True(seen[zone])
			}
		})
	}
}

// TestOwnerKnowsShortestQueue guards against an owner that sends jobs to a queue which is long itself.
func TestOwnerKnowsShortestQueue(t *testing.T) {
	is := is.New(t)
	d, now := newZonedDispatcher(t, 9, 9, 9), time.Now()
	is.True(d.shortestOther(queueID{"encode", "a"}, now).zone != "a")
	d.recordWaitTimes(queueID{"encode", "b"}, WaitTimes{OnTime: time.Second, All: time.Second})
	is.Equal(d.shortestOther(queueID{"encode", "a"}, now).zone, "c")
	d.recordWaitTimes(queueID{"encode", "c"}, WaitTimes{OnTime: 2 * time.Second, All: 2 * time.Second})
	other := d.shortestOther(queueID{"encode", "a"}, now)
	is.Equal(other.zone, "b")
	is.Equal(other.wait, time.Second)
}

// TestResultsAreReleasedToQueueThatMadeThem guards against results that hold memory until they expire, because their release
// goes to the owner of another zone's queue.
func TestResultsAreReleasedToQueueThatMadeThem(t *testing.T) {
	is := is.New(t)
	d := newZonedDispatcher(t, 9, 9, 2)
	is.Equal(d.queueNear("encode", "b"), queueID{"encode", "b"})
	is.Equal(d.queueNear("encode", "c"), queueID{"encode", ""})
	_, served, _ := d.upstreamsOf(queueID{"encode", "b"})()
	is.Equal(len(served), 9)
	_, served, _ = d.upstreamsOf(queueID{"encode", ""})()
	is.Equal(len(served), 2)
}

// TestQueueWithoutUpstreamsLooksShort guards against jobs that go to the queue of a zone of which all upstreams leave or are
// paused, because nothing waits there.
func TestQueueWithoutUpstreamsLooksShort(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	q := newQueue(spec, "a", "a")
	is.Equal(q.WaitTimes(now).OnTime, time.Duration(0))
	list := upstreams("a", "a")
	list[0].Leaving = true
	q.SetUpstreams(list)
	is.Equal(q.WaitTimes(now).OnTime, time.Duration(0)) // the other one serves
	q.upstreams[list[1].ID].recordFailure(now, false)
	is.Equal(q.WaitTimes(now).OnTime, unservedWait)
	is.Equal(q.WaitTimes(now).All, unservedWait)
	is.Equal(q.WaitTimes(now.Add(maxPause)).OnTime, time.Duration(0))
}
