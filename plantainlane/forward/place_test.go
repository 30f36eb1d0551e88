package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/roster"
	"plantainlane/wire"
)

// engines returns a view of so many upstreams in three zones.
func engines(t *testing.T, n int) roster.View {
	t.Helper()
	r := roster.New()
	for i := range n {
		a := wire.Announcement{
			ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint("a", i), Zone: fmt.Sprint("zone-", i%3), Region: "region", Capacity: 8,
			Incarnation: 1, Sequence: 1, TTLMs: 60_000,
		}
		if err := r.Announce(a, "", time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	return r.View()
}

// sessionParts is a prompt of a session of some kind: a first part that the kind's sessions share, the session's own
// part, and the request's.
func sessionParts(kind, session int) []Part {
	return []Part{
		{ID: fmt.Sprint("kind", kind), Tokens: 300},
		{ID: fmt.Sprint("session", kind, "/", session), Tokens: 200},
		{ID: "request", Tokens: 1000},
	}
}

// TestFirstPartsAreReadAtFewUpstreams replays sessions of some kinds: the sessions of one kind begin alike.
func TestFirstPartsAreReadAtFewUpstreams(t *testing.T) {
	is := is.New(t)
	const upstreams, kinds, sessions = 60, 16, 50
	v := engines(t, upstreams)
	reads, load := make(map[string]bool), make(map[string]int)
	for kind := range kinds {
		for session := range sessions {
			h := homesOf(v, "s", nil, sessionParts(kind, session))
			is.Equal(len(h.ids), maxHomes)
			reads[fmt.Sprint(kind, h.first())] = true
			load[h.first()]++
		}
	}
	is.True(len(reads) <= upstreams*kinds/3) // each first part is read by a third of the upstreams
	is.True(len(load) > upstreams*9/10)      // no upstream is left out
	for _, n := range load {
		is.True(n <= 3*kinds*sessions/upstreams)
	}
}

// TestLargeSessionsAreSpreadOverAll replays sessions whose own part is much larger than what they begin with: one that
// finds its few homes busy would be read again elsewhere.
func TestLargeSessionsAreSpreadOverAll(t *testing.T) {
	is := is.New(t)
	v := engines(t, 60)
	load := make(map[string]int)
	for session := range 600 {
		parts := sessionParts(1, session)
		parts[1].Tokens = 5000
		load[homesOf(v, "s", nil, parts).first()]++
	}
	is.True(len(load) > 54)
}

func TestSessionKeepsItsHomes(t *testing.T) {
	is := is.New(t)
	v := engines(t, 20)
	is.Equal(homesOf(v, "s", nil, sessionParts(1, 2)), homesOf(v, "s", nil, sessionParts(1, 2)))
	is.Equal(len(homesOf(v, "other", nil, sessionParts(1, 2)).ids), 0)
	is.Equal(len(homesOf(v, "s", nil, sessionParts(1, 2)[:1]).ids), 0) // nothing is shared
}

func TestSmallServiceHasHomesForAll(t *testing.T) {
	is := is.New(t)
	is.Equal(neighbours(2), 2)
	is.Equal(neighbours(9), leastNeighbours)
	is.Equal(neighbours(60), 20)
}
