package fake

import (
	"math"
	"math/rand/v2"
	"time"
)

// Distribution is the shape of service times.
type Distribution string

// Distributions of service times.
const (
	Constant    Distribution = "constant"
	Exponential Distribution = "exponential"
	Lognormal   Distribution = "lognormal"
)

// lognormalSigma is the standard deviation of the logarithm of a lognormal service time.
const lognormalSigma = 0.5

// Profile is how a healthy fake works.
type Profile struct {
	// Capacity is how many calls run at once. At least 1.
	Capacity int
	// Queue is how many calls wait for a slot before further ones are refused as not run.
	Queue int
	// ServiceTime is the mean time a call takes before its answer starts.
	ServiceTime time.Duration
	// Distribution shapes service times around the mean.
	Distribution Distribution
	// StreamPaths are the paths that answer with a stream of tokens.
	StreamPaths []string
	// Tokens is the mean number of tokens of a stream.
	Tokens int
	// TokensPerSecond is how fast one stream runs; 0 is as fast as possible.
	TokensPerSecond float64
	// CallUnits is the cost of each call that runs.
	CallUnits float64
	// TokenUnits is the cost of each token sent.
	TokenUnits float64
	// Models are the models announced as loaded, as name@version.
	Models []string
	// LedgerRows bounds the executions a fake remembers one by one.
	LedgerRows int
}

// Option changes a fake at construction.
type Option func(*Fake)

// WithProfile sets how the fake works.
func WithProfile(p Profile) Option {
	return func(f *Fake) { f.profile = p }
}

// WithSeed seeds service times and faults.
func WithSeed(seed uint64) Option {
	return func(f *Fake) { f.dice = newDice(seed) }
}

// WithPlace sets zone and region.
func WithPlace(zone, region string) Option {
	return func(f *Fake) { f.zone, f.region = zone, region }
}

// DefaultProfile returns a fast pooled stage of small capacity.
func DefaultProfile() Profile {
	return Profile{
		Capacity:     8,
		Queue:        64,
		ServiceTime:  10 * time.Millisecond,
		Distribution: Exponential,
		Tokens:       32,
		CallUnits:    1,
		Models:       []string{},
		LedgerRows:   200_000,
	}
}

func draw(r *rand.Rand, shape Distribution, mean time.Duration) time.Duration {
	switch shape {
	case Exponential:
		return time.Duration(r.ExpFloat64() * float64(mean))
	case Lognormal:
		mu := -lognormalSigma * lognormalSigma / 2
		return time.Duration(math.Exp(r.NormFloat64()*lognormalSigma+mu) * float64(mean))
	default:
		return mean
	}
}
