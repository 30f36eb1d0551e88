package speed

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"plantainlane/standin/chain"
)

// Rate is the number of correct answers per second of one way.
type Rate struct {
	Way       string  `json:"way"`
	PerSecond float64 `json:"perSecond"`
	// Answers counts correct answers, Failures all other calls.
	Answers  int64 `json:"answers"`
	Failures int64 `json:"failures"`
	// Failure is the error of the first failed call.
	Failure string `json:"failure,omitempty"`
}

// MeasureRate keeps a number of calls in flight for the duration d and returns the rate of correct answers. path is the
// path of the stage, which determines the expected output for the input.
func MeasureRate(ctx context.Context, client *http.Client, w Way, input json.RawMessage, path string, calls int, d time.Duration) Rate {
	want, err := expectedDigest(input, path)
	if err != nil {
		return Rate{Way: w.Name(), Failures: 1, Failure: err.Error()}
	}
	var answers, failures atomic.Int64
	var firstFailure sync.Once
	rate := Rate{Way: w.Name()}
	start := time.Now()
	var running sync.WaitGroup
	for range calls {
		running.Go(func() {
			for time.Since(start) < d && ctx.Err() == nil {
				if err := call(ctx, client, w, input, want); err != nil {
					failures.Add(1)
					firstFailure.Do(func() { rate.Failure = err.Error() })
					continue
				}
				answers.Add(1)
			}
		})
	}
	running.Wait()
	rate.Answers, rate.Failures = answers.Load(), failures.Load()
	rate.PerSecond = float64(rate.Answers) / time.Since(start).Seconds()
	return rate
}

// expectedDigest returns the digest of the output for an input at a path.
func expectedDigest(input json.RawMessage, path string) (string, error) {
	digest, err := chain.InputDigest(input)
	if err != nil {
		return "", err
	}
	return chain.Derive(path, digest).Digest, nil
}

// Latency holds quantiles of the latency of one way with one call in flight.
type Latency struct {
	Way string        `json:"way"`
	P50 time.Duration `json:"p50Ns"`
	P99 time.Duration `json:"p99Ns"`
}

// MeasureLatency makes a number of calls by each way, in turn and one call at a time. path is the path of the stage, as
// for MeasureRate. It returns an error if any call fails.
func MeasureLatency(ctx context.Context, client *http.Client, ways []Way, input json.RawMessage, path string, calls int) ([]Latency, error) {
	want, err := expectedDigest(input, path)
	if err != nil {
		return nil, err
	}
	times := make([][]time.Duration, len(ways))
	for range calls {
		for i, w := range ways {
			start := time.Now()
			if err := call(ctx, client, w, input, want); err != nil {
				return nil, err
			}
			times[i] = append(times[i], time.Since(start))
		}
	}
	out := make([]Latency, len(ways))
	for i, w := range ways {
		slices.Sort(times[i])
		out[i] = Latency{Way: w.Name(), P50: times[i][len(times[i])/2], P99: times[i][len(times[i])*99/100]}
	}
	return out, nil
}
