package state

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

// TestMergedChangesDiffer guards against merged changes that give another configuration than the changes one by one, also
// if the first of them were applied before.
func TestMergedChangesDiffer(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		base := randomChange(rng)
		configs := []Config{Config{}.With(base.Set, nil, 1)}
		var sets []*wire.ChangeSet
		for i := range 1 + rng.IntN(6) {
			sets = append(sets, randomChange(rng))
			configs = append(configs, configs[i].With(sets[i].Set, sets[i].Remove, i+2))
		}
		last := configs[len(configs)-1]
		set, remove := MergeChanges(sets)
		for _, c := range configs {
			is.Equal(c.With(set, remove, last.Revision).Declarations(), last.Declarations())
		}
	}
}

// randomChange returns a change that sets and removes some of three contracts and policies, and may set the site.
func randomChange(rng *rand.Rand) *wire.ChangeSet {
	c := &wire.ChangeSet{Set: declaration.Empty(), Remove: []wire.DeclarationName{}}
	for i := range 3 {
		name := fmt.Sprint("n", i)
		switch rng.IntN(4) {
		case 0:
			c.Set.Contracts = append(c.Set.Contracts, wire.Contract{Workspace: name, DefaultDeadlineMs: rng.IntN(1000)})
		case 1:
			c.Remove = append(c.Remove, wire.DeclarationName{Kind: declaration.KindContract, Name: name})
		case 2:
			c.Set.UpstreamPolicies = append(c.Set.UpstreamPolicies, wire.UpstreamPolicy{Service: name, QueueLimit: rng.IntN(1000)})
			c.Remove = append(c.Remove, wire.DeclarationName{Kind: declaration.KindUpstreamPolicy, Name: name})
		}
	}
	if rng.IntN(2) == 0 {
		c.Set.Site = &wire.Site{Version: rng.IntN(10)}
	}
	return c
}
