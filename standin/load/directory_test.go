package load

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// testDirectory returns a directory with entries of these weights and one seed address.
func testDirectory(weights map[string]float64) *directory {
	d := newDirectory(http.DefaultClient, []string{"seed"}, 1)
	for _, a := range []string{"a", "b", "c"} {
		if w, ok := weights[a]; ok {
			d.entries = append(d.entries, wire.EntryAddress{Address: a, Weight: w})
		}
	}
	return d
}

// countPicks returns how often each entry is picked in 1000 picks.
func countPicks(d *directory, avoid string) map[string]int {
	counts := make(map[string]int)
	for range 1000 {
		counts[d.pick(avoid)]++
	}
	return counts
}

// A failed entry or the entry of the previous send must not be picked while there is another, and a directory whose
// entries have all failed or are unknown must still return an address.
func TestPickAvoidsFailedEntries(t *testing.T) {
	tests := map[string]struct {
		weights map[string]float64
		failed  []string
		avoid   string
		want    []string
	}{
		"all":                     {map[string]float64{"a": 1, "b": 1, "c": 1}, nil, "", []string{"a", "b", "c"}},
		"no weight":               {map[string]float64{"a": 1, "b": 0}, nil, "", []string{"a"}},
		"one failed":              {map[string]float64{"a": 1, "b": 1}, []string{"a"}, "", []string{"b"}},
		"one to avoid":            {map[string]float64{"a": 1, "b": 1}, nil, "b", []string{"a"}},
		"only one is not avoided": {map[string]float64{"a": 1}, nil, "a", []string{"a"}},
		"all failed":              {map[string]float64{"a": 1, "b": 1}, []string{"a", "b"}, "", []string{"a"}},
		"no entries":              {nil, nil, "", []string{"seed"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := testDirectory(tt.weights)
			for _, a := range tt.failed {
				d.markFailed(a)
			}
			counts := countPicks(d, tt.avoid)
			is.Equal(len(counts), len(tt.want))
			for _, a := range tt.want {
				is.True(counts[a] > 0)
			}
		})
	}
}

// Entries with weights 3 and 1 get three quarters and one quarter of the picks.
func TestPickByWeight(t *testing.T) {
	is := is.New(t)
	counts := countPicks(testDirectory(map[string]float64{"a": 3, "b": 1}), "")
	is.True(counts["a"] > 700 && counts["a"] < 800)
}
