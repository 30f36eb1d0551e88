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

// Profile describes the behavior of a fake without faults.
type Profile struct {
	// Capacity is the maximum number of concurrent calls. A value below 1 means 1.
	Capacity int
	// Queue is the maximum number of calls that wait for a slot. Further calls are refused as not run.
	Queue int
	// ServiceTime is the mean time from the start of a call to the start of its answer.
	ServiceTime time.Duration
	// Distribution is the distribution of service times around the mean.
	Distribution Distribution
	// StreamPaths are the paths that answer with a stream of tokens.
	StreamPaths []string
	// Tokens is the mean number of tokens of a stream, see chain.TokenCount.
	Tokens int
	// TokensPerSecond is the rate of a stream; 0 sends the tokens without pauses.
	TokensPerSecond float64
	// CallUnits is the cost of each call that is run, in cost units.
	CallUnits float64
	// TokenUnits is the cost of each token sent, in cost units.
	TokenUnits float64
	// Models are the models announced as loaded, as name@version.
	Models []string
	// LedgerRows is the maximum number of executions with a row of their own in the ledger.
	LedgerRows int
}

// Option is an option of New.
type Option func(*Fake)

// WithProfile sets the fake's profile.
func WithProfile(p Profile) Option {
	return func(f *Fake) { f.profile = p }
}

// WithSeed sets the seed of the random service times and faults.
func WithSeed(seed uint64) Option {
	return func(f *Fake) { f.random = newRandomSource(seed) }
}

// WithPlace sets the fake's availability zone and region.
func WithPlace(zone, region string) Option {
	return func(f *Fake) { f.zone, f.region = zone, region }
}

// DefaultProfile returns the profile of a fast upstream with a small capacity that streams at no path.
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

// sampleServiceTime returns a random service time with the given distribution and mean.
func sampleServiceTime(r *rand.Rand, shape Distribution, mean time.Duration) time.Duration {
	switch shape {
	case Exponential:
		return time.Duration(r.ExpFloat64() * float64(mean))
	case Lognormal:
		// With this mu the mean of the logarithmic normal distribution is 1.
		mu := -lognormalSigma * lognormalSigma / 2
		return time.Duration(math.Exp(r.NormFloat64()*lognormalSigma+mu) * float64(mean))
	default:
		return mean
	}
}
