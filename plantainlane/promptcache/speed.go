package promptcache

import "time"

const (
	// assumedPerToken is the time that an engine takes to read a token before any was measured: 90 tokens per ms.
	assumedPerToken = 1.0 / 90_000
	// minPerToken and maxPerToken bound the measured time.
	minPerToken, maxPerToken = 1.0 / 1_000_000, 1.0 / 4_000
	// assumedSamples is the weight of assumedPerToken, in samples whose sizes vary by assumedDeviation tokens.
	assumedSamples, assumedDeviation = 5.0, 2_000.0
	// speedKept is the factor by which a sample counts less with each newer one.
	speedKept = 0.99
	// maxSampleFactor bounds the time of a sample, as a multiple of what was expected.
	maxSampleFactor = 5
)

// speed measures the speed at which the engines of a service read prompts, by linear regression of the times until the
// first events over the tokens read. The wait for a slot and the work for the first token, which don't depend on the
// size, are the constant of the regression and don't distort the speed.
type speed struct {
	// count, x, y, xx, xy are sums over the samples: 1, tokens, seconds and their products.
	count, x, y, xx, xy float64
}

// observe adds a sample: the time until the first event after reading tokens.
func (s *speed) observe(tokens float64, took time.Duration) {
	y := min(took.Seconds(), maxSampleFactor*(s.base()+tokens*s.perToken()+assumedFirstEvent.Seconds()))
	for _, sum := range []*float64{&s.count, &s.x, &s.y, &s.xx, &s.xy} {
		*sum *= speedKept
	}
	s.count, s.x, s.y, s.xx, s.xy = s.count+1, s.x+tokens, s.y+y, s.xx+tokens*tokens, s.xy+tokens*y
}

// perToken returns the time to read a token, in seconds.
func (s *speed) perToken() float64 {
	const prior = assumedSamples * assumedDeviation * assumedDeviation
	if s.count == 0 {
		return assumedPerToken
	}
	variance := max(s.xx-s.x*s.x/s.count, 0)
	covariance := s.xy - s.x*s.y/s.count
	return min(max((covariance+assumedPerToken*prior)/(variance+prior), minPerToken), maxPerToken)
}

// base returns the part of the times until the first event that doesn't depend on the tokens, in seconds.
func (s *speed) base() float64 {
	if s.count == 0 {
		return 0
	}
	return max((s.y-s.perToken()*s.x)/s.count, 0)
}
