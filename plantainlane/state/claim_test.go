package state

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"plantainlane/wire"
)

// claim returns a claim of key "k" by an attempt on incarnation 1 of instance "i", committed at 10 ms.
func claim(attempt, digest string) wire.Command {
	return wire.Command{Claim: &wire.Claim{
		Workspace: "w", Key: "k", Digest: digest, Attempt: attempt, RequestID: attempt, Instance: "i", Incarnation: 1, AtMs: 10,
	}}
}

// resolve returns a resolution of key "k" to a state by an attempt, committed at 20 ms.
func resolve(attempt, to string) wire.Command {
	return wire.Command{Resolve: &wire.Resolution{Workspace: "w", Key: "k", Attempt: attempt, State: to, Result: []byte(`{}`), AtMs: 20}}
}

// TestClaims checks the answer to a claim or resolution after a sequence of commands. A wrong answer runs a request
// twice, or refuses one that never ran.
func TestClaims(t *testing.T) {
	register := wire.Command{Register: &wire.InstanceInfo{ID: "i", Incarnation: 1}}
	restarted := wire.Command{Register: &wire.InstanceInfo{ID: "i", Incarnation: 2}}
	forget := wire.Command{Forget: &wire.InstanceInfo{ID: "i", Incarnation: 1}}
	expire := wire.Command{Expire: &wire.ExpireClaims{BeforeMs: 1000}}
	tests := map[string]struct {
		before []wire.Command
		last   wire.Command
		want   string
	}{
		"first":                           {nil, claim("a", "d"), ClaimWon},
		"resent":                          {[]wire.Command{claim("a", "d")}, claim("a", "d"), ClaimWon},
		"held by another attempt":         {[]wire.Command{claim("a", "d")}, claim("b", "d"), ClaimRunning},
		"other request":                   {[]wire.Command{claim("a", "d")}, claim("b", "e"), ClaimMismatch},
		"repeat after the answer":         {[]wire.Command{claim("a", "d"), resolve("a", ClaimRan)}, claim("b", "d"), ClaimRan},
		"resent after the answer":         {[]wire.Command{claim("a", "d"), resolve("a", ClaimRan)}, claim("a", "d"), ClaimRan},
		"repeat after unknown":            {[]wire.Command{claim("a", "d"), resolve("a", ClaimUnknown)}, claim("b", "d"), ClaimUnknown},
		"repeat after not run":            {[]wire.Command{claim("a", "d"), resolve("a", ClaimNotRun)}, claim("b", "d"), ClaimWon},
		"resolved by another attempt":     {[]wire.Command{claim("a", "d")}, resolve("b", ClaimRan), ClaimAbsent},
		"second resolution":               {[]wire.Command{claim("a", "d"), resolve("a", ClaimRan)}, resolve("a", ClaimUnknown), ClaimRan},
		"not run after the answer":        {[]wire.Command{claim("a", "d"), resolve("a", ClaimRan)}, resolve("a", ClaimNotRun), ClaimRan},
		"claim after its release":         {[]wire.Command{resolve("a", ClaimNotRun)}, claim("a", "d"), ClaimNotRun},
		"another attempt after a release": {[]wire.Command{resolve("a", ClaimNotRun)}, claim("b", "d"), ClaimWon},
		"claimant restarted":              {[]wire.Command{register, claim("a", "d"), restarted}, claim("b", "d"), ClaimUnknown},
		"claimant forgotten":              {[]wire.Command{register, claim("a", "d"), forget}, claim("b", "d"), ClaimUnknown},
		"claimant resolves later":         {[]wire.Command{register, claim("a", "d"), forget, resolve("a", ClaimRan)}, claim("b", "d"), ClaimRan},
		"key after its answer expired":    {[]wire.Command{claim("a", "d"), resolve("a", ClaimRan), expire}, claim("b", "d"), ClaimExpired},
		"running claims don't expire":     {[]wire.Command{claim("a", "d"), expire}, claim("b", "d"), ClaimRunning},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &State{}
			for _, c := range tt.before {
				_, err := s.Apply(c)
				is.NoErr(err)
			}
			out, err := s.Apply(tt.last)
			is.NoErr(err)
			is.Equal(out.Claim.State, tt.want)
		})
	}
}

// TestAtMostOneWinnerPerKey guards against two attempts that execute the request of one key. It applies random commands
// and replaces the state by a decoded snapshot at random places. Until a claim is resolved as not run, no attempt but
// its winner may win the key or resolve it.
func TestAtMostOneWinnerPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		s := &State{}
		winner := ""
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				b, err := s.Encode()
				is.NoErr(err)
				s, err = Decode(b)
				is.NoErr(err)
			}
			attempt := strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "attempt"))
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1, 2:
				out, err := s.Apply(claim(attempt, "d"))
				is.NoErr(err)
				if out.Claim.State == ClaimWon {
					is.True(winner == "" || winner == attempt)
					winner = attempt
				}
			case 3:
				out, err := s.Apply(resolve(attempt, ClaimNotRun))
				is.NoErr(err)
				if out.Claim.State == ClaimNotRun {
					is.Equal(attempt, winner)
					winner = ""
				}
			case 4:
				to := rapid.SampledFrom([]string{ClaimRan, ClaimUnknown}).Draw(t, "end")
				out, err := s.Apply(resolve(attempt, to))
				is.NoErr(err)
				is.True(out.Claim.State == ClaimAbsent || attempt == winner)
			case 5:
				_, err := s.Apply(wire.Command{Expire: &wire.ExpireClaims{BeforeMs: 15}})
				is.NoErr(err)
			}
		}
	})
}

// TestChangeOutcomes guards against a lost update: of two changes with the same base revision one conflicts. A change
// that is resent keeps its first outcome, even if its base revision differs.
func TestChangeOutcomes(t *testing.T) {
	is := is.New(t)
	s := &State{}
	change := func(id string, base int, problems ...string) wire.ChangeOutcome {
		set := wire.Declarations{Models: []wire.Model{{Name: id}}}
		out, err := s.Apply(wire.Command{Change: &wire.ChangeSet{ChangeID: id, BaseRevision: base, Set: set}, ChangeProblems: problems})
		is.NoErr(err)
		return *out.Change
	}
	is.Equal(change("a", 0).Revision, 1)
	conflict := change("b", 0)
	is.Equal(conflict.State, ChangeConflict)
	is.Equal(conflict.CurrentRevision, 1)
	is.Equal(change("c", 1, "bad").State, ChangeInvalid)
	is.Equal(change("d", 1).Revision, 2)
	is.Equal(change("a", 1).Revision, 1) // resent with another base revision
	is.Equal(change("b", 2).State, ChangeConflict)
	is.Equal(s.Config.Models.Len(), 2)
	is.Equal(s.Config.Revision, 2)
}

// TestExpiredKeyIsNeverWonAgain guards against a second execution of a key whose answer expired. A hash of the key must
// remain, except for a UUID of version 7 that was created before the expiry: the key itself shows its age. old was
// created in 1970, late in 2100.
func TestExpiredKeyIsNeverWonAgain(t *testing.T) {
	const old, late = "00000000-0010-7000-8000-000000000000", "03bb2cc3-d800-7000-8000-000000000000"
	for key, hashes := range map[string]int{old: 0, late: 1, "other": 1} {
		t.Run(key, func(t *testing.T) {
			is := is.New(t)
			s := &State{}
			run := func(c wire.Command) Outcome {
				out, err := s.Apply(c)
				is.NoErr(err)
				return out
			}
			first, end := claim("a", "d"), resolve("a", ClaimRan)
			first.Claim.Key, end.Resolve.Key = key, key
			is.Equal(run(first).Claim.State, ClaimWon)
			run(end)
			run(wire.Command{Expire: &wire.ExpireClaims{BeforeMs: 1000}})
			is.Equal(s.Claims.Len(), 0)
			is.Equal(s.Expired.Len(), hashes)
			again := claim("b", "d")
			again.Claim.Key = key
			is.Equal(run(again).Claim.State, ClaimExpired)
		})
	}
}
