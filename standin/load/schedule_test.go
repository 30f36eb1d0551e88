package load

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/standin/chain"
	"plantainlane/standin/scenario"
	"plantainlane/wire"
)

// testScenario returns a scenario of ten seconds with one flow on a pipeline of two stages.
func testScenario(flow scenario.Flow) *scenario.Scenario {
	flow.Pipeline, flow.DeadlineMs = "guide", 1000
	return &scenario.Scenario{
		Seed: 1, DurationMs: 10_000,
		Workspaces: []scenario.Workspace{{Name: "w", Key: "k", Flows: []scenario.Flow{flow}}},
		Pipelines: map[string]wire.Pipeline{"guide": {Name: "guide", Stages: []wire.Stage{
			{Name: "encode", Service: "encoder", Path: chain.PathEncode, Idempotent: true},
			{Name: "rerank", Service: "reranker", Path: chain.PathRerank},
		}}},
	}
}

// Runs of one seed must have the same arrivals, so that policies can be compared, but other inputs and keys, so that no
// run gets stored answers of an earlier one.
func TestScheduleRepeatsArrivalsNotInputs(t *testing.T) {
	is := is.New(t)
	s := testScenario(scenario.Flow{PerSecond: 100, LostAnswerShare: 0.5})
	a, err := Schedule(s, "a", 1<<20)
	is.NoErr(err)
	b, err := Schedule(s, "b", 1<<20)
	is.NoErr(err)
	is.Equal(len(a), len(b))
	lost := 0
	for i := range a {
		is.Equal(a[i].Arrival, b[i].Arrival)                  // arrivals depend on the seed alone
		is.Equal(a[i].LoseAnswer, b[i].LoseAnswer)            // so do the answers that clients discard
		is.True(a[i].InputDigests[0] != b[i].InputDigests[0]) // inputs differ between runs
		is.True(i == 0 || a[i-1].Arrival <= a[i].Arrival)
		is.True(!a[i].Idempotent)
		if a[i].LoseAnswer {
			lost++
		}
	}
	is.True(len(a) > 800 && len(a) < 1200)
	is.True(lost > len(a)/3 && lost < len(a)*2/3)
	bounded, err := Schedule(s, "a", 10)
	is.NoErr(err)
	is.Equal(len(bounded), 10)
}

// The rate is multiplied by the factors of the phase and of the burst, only while they last.
func TestFactorAt(t *testing.T) {
	s := &scenario.Scenario{Burst: scenario.Burst{EveryMs: 1000, LengthMs: 100, Factor: 3}}
	f := scenario.Flow{Phases: []scenario.Phase{{FromMs: 2000, ToMs: 4000, Factor: 10}}}
	tests := map[string]struct {
		at   time.Duration
		want float64
	}{
		"plain":          {500 * time.Millisecond, 1},
		"burst":          {1050 * time.Millisecond, 3},
		"phase":          {2500 * time.Millisecond, 10},
		"burst in phase": {3050 * time.Millisecond, 30},
		"end of phase":   {4500 * time.Millisecond, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(factorAt(s, f, tt.at), tt.want)
		})
	}
}
