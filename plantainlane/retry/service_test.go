package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newService(p wire.UpstreamPolicy) *Service {
	return NewService(p, WithRandom(rand.New(rand.NewPCG(1, 2)).Uint64))
}

// TestBudgetBoundsRetries guards against a failing service that receives a multiple of its typical load from retries.
func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	s := newService(wire.UpstreamPolicy{RetryBudget: 0.1, MaxAttempts: 3})
	retries := 0
	for range 10_000 { // every call fails
		s.RecordAttempt()
		for attempts := 1; ; attempts++ {
			if _, ok := s.Retry(epoch, epoch.Add(time.Minute), attempts); !ok {
				break
			}
			retries++
		}
	}
	is.True(retries <= 1000+initialCredits/creditsPerRetry)
	is.True(retries >= 1000)
}

func TestRetryNeedsTimeAndAttempts(t *testing.T) {
	tests := []struct {
		name     string
		attempts int
		left     time.Duration
		want     bool
	}{
		{"in time", 1, 400 * time.Millisecond, true},
		{"can't finish", 1, 90 * time.Millisecond, false},
		{"attempts used up", 2, time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newService(wire.UpstreamPolicy{RetryBudget: 0.1, MaxAttempts: 2})
			for range 100 {
				s.Latency.Observe(100 * time.Millisecond)
			}
			s.Review(epoch)
			_, ok := s.Retry(epoch, epoch.Add(test.left), test.attempts)
			is.Equal(ok, test.want)
		})
	}
}

func TestBackoffBoundDoublesUpToMaximum(t *testing.T) {
	is := is.New(t)
	s := newService(wire.UpstreamPolicy{})
	for attempts := 1; attempts < 100; attempts++ {
		bound := min(firstBackoff<<min(attempts-1, 20), maxBackoff)
		largest := time.Duration(0)
		for range 200 {
			largest = max(largest, s.Backoff(attempts))
		}
		is.True(largest < bound)
		is.True(largest > bound/2)
	}
}

func TestHedgeDelayIsQuantile(t *testing.T) {
	is := is.New(t)
	s := newService(wire.UpstreamPolicy{RetryBudget: 0.1, MaxAttempts: 2, HedgeQuantile: 0.95})
	_, ok := s.HedgeDelay()
	is.True(!ok) // no latency is known yet
	for i := range 1000 {
		s.Latency.Observe(time.Duration(i+1) * time.Millisecond)
	}
	s.Review(epoch)
	delay, ok := s.HedgeDelay()
	is.True(ok)
	is.True(delay >= 950*time.Millisecond && delay <= 1100*time.Millisecond)
	is.True(s.Latency.Median() >= 500*time.Millisecond && s.Latency.Median() <= 570*time.Millisecond)
	is.True(s.Hedge(epoch, epoch.Add(time.Second), 1))
	is.True(!s.Hedge(epoch, epoch.Add(100*time.Millisecond), 1))
	is.True(!s.Hedge(epoch, epoch.Add(time.Second), 2))
}

func TestQuantilesDropOldLatencies(t *testing.T) {
	is := is.New(t)
	l := &Latency{}
	now := epoch
	observe := func(d time.Duration, seconds int) {
		for range seconds {
			for range 100 {
				l.Observe(d)
			}
			l.Review(now, 0.9)
			now = now.Add(time.Second)
		}
	}
	observe(time.Second, 10)
	observe(10*time.Millisecond, 12)
	is.True(l.High() < 12*time.Millisecond)
	for range 4 {
		l.Review(now, 0.9)
		now = now.Add(windowLength)
	}
	is.Equal(l.Median(), time.Duration(0)) // without calls the latency is unknown
}

func TestBucketBoundsEncloseLatencies(t *testing.T) {
	is := is.New(t)
	for d := 2 * time.Microsecond; d < 3*time.Minute; d += d/7 + 1 {
		bound := upperBound(bucketOf(d))
		is.True(bound > d)
		is.True(bound <= d+d/7+1)
	}
}

// TestStageDeadlineReservesTimeForLaterStages checks that a later stage gets its planned share while its median is
// unknown, and otherwise its median if that is shorter. It also checks that ExpectedTime adds only the largest excess,
// and at most maxExcessFactor times the median.
func TestStageDeadlineReservesTimeForLaterStages(t *testing.T) {
	is := is.New(t)
	end := epoch.Add(time.Second)
	later := []wire.Stage{{DeadlineShare: 0.3}, {DeadlineShare: 0.2}}
	unknown := []Estimate{{}, {}}
	is.Equal(StageDeadline(end, time.Second, later, unknown), epoch.Add(500*time.Millisecond))
	known := []Estimate{{Median: 50 * time.Millisecond}, {Median: 400 * time.Millisecond}}
	is.Equal(StageDeadline(end, time.Second, later, known), epoch.Add(750*time.Millisecond))
	is.Equal(ExpectedTime([]Estimate{{10, 30}, {20, 25}}), time.Duration(50))
	is.Equal(ExpectedTime([]Estimate{{10, 1000}, {20, 25}}), time.Duration(50))
}
