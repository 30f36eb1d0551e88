package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// TestSampleGivesEachItsShare guards against members that are drawn more or less often than their weight says, which happens
// if a sample is larger than the largest weight allows.
func TestSampleGivesEachItsShare(t *testing.T) {
	for name, weights := range map[string][]float64{
		"mixed": {1, 4, 2, 1, 3.3, 1, 1, 0.5, 4, 2}, "one large": {1, 6, 1, 1}, "equal": {0.1, 0.1, 0.1, 0.1, 0.1}, "single": {2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(1, 2))
			counts, total, sizes := make([]float64, len(weights)), 0.0, 0
			const draws = 40_000
			for range draws {
				sample := Sample(weights, 4, r.Float64, r.Shuffle)
				sizes += len(sample)
				counts[sample[r.IntN(len(sample))]]++
			}
			for _, w := range weights {
				total += w
			}
			for i, w := range weights {
				is.True(math.Abs(counts[i]/draws-w/total) < 0.01)
			}
			is.Equal(sizes, draws*map[string]int{"mixed": 4, "one large": 1, "equal": 4, "single": 1}[name])
		})
	}
}

// TestUnknownCapacityIsAverage guards against instances of earlier versions, or without limits in their settings, that get no
// work or all of it.
func TestUnknownCapacityIsAverage(t *testing.T) {
	is := is.New(t)
	is.Equal(Relative([]float64{1, 0, 3}), []float64{0.5, 1, 1.5})
	is.True(AreEqual(Relative([]float64{0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0, 0.1}))) // though their sum is rounded
}
