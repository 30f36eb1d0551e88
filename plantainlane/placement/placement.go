// Package placement chooses among instances and upstreams in proportion to weights: scores of rendezvous hashing, random
// samples, and the weights that follow from capacities.
package placement

import (
	"math"
	"slices"
)

// Score returns the score of a member for a key by weighted rendezvous hashing, given a hash of both: the fraction of keys for
// which a member has the highest score is proportional to its weight, and a member that is added or lost moves only its own
// keys. With equal weights, the order of the scores is that of the hashes.
func Score(hash uint64, weight float64) float64 {
	const bits = 53 // precision of a float64
	return -weight / math.Log((float64(hash>>(64-bits))+0.5)/(1<<bits))
}

// Relative returns capacities as multiples of their mean. Those that aren't known, as they are 0, count as the mean. All are 1
// if the known ones are equal.
func Relative(capacities []float64) []float64 {
	sum, known, least, most := 0.0, 0, math.Inf(1), 0.0
	for _, c := range capacities {
		if c > 0 {
			sum += c
			known++
			least, most = min(least, c), max(most, c)
		}
	}
	out := make([]float64, len(capacities))
	for i, c := range capacities {
		out[i] = 1
		if c > 0 && least != most {
			out[i] = c * float64(known) / sum
		}
	}
	return out
}

// AreEqual reports whether relative capacities are all the same.
func AreEqual(relative []float64) bool {
	return !slices.ContainsFunc(relative, func(r float64) bool { return r != 1 })
}

// Sample returns the indexes of a random sample of at most most members, from which a member drawn without weights is drawn
// in proportion to its weight. For this, each must be in the sample with a probability in proportion to its weight, which
// can't exceed 1: the sample is the smaller the larger the largest weight is. random returns numbers from 0 inclusive to 1
// exclusive, and shuffle puts the members in a random order, so that all pairs of members occur.
func Sample(weights []float64, most int, random func() float64, shuffle func(n int, swap func(i, j int))) []int {
	total, largest := 0.0, 0.0
	order := make([]int, len(weights))
	for i, w := range weights {
		total += w
		largest = max(largest, w)
		order[i] = i
	}
	if total <= 0 || largest <= 0 {
		return order[:min(len(order), most)]
	}
	shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	// The tolerance allows for rounding, with which the sum of n equal weights can be less than n times one.
	count := min(int(total/largest+1e-9), most)
	step := total / float64(count)
	// Systematic sampling: of the weights laid end to end, those are drawn in which the points at, at+step and so on are.
	at, end := random()*step, 0.0
	out := make([]int, 0, count)
	for _, i := range order {
		end += weights[i]
		if at < end && len(out) < count {
			out = append(out, i)
			at += step
		}
	}
	return out
}
