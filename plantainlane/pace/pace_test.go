package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMeanOverPeriod guards against an expected time that assumes a pace for longer or shorter than At does.
func TestMeanOverPeriod(t *testing.T) {
	for _, age := range []time.Duration{-time.Millisecond, 0, 200 * time.Millisecond, 600 * time.Millisecond} {
		for _, period := range []time.Duration{time.Millisecond, 300 * time.Millisecond, time.Second} {
			is := is.New(t)
			sum, steps := 0.0, 1000
			for i := range steps {
				sum += At(250, max(age, 0)+period*time.Duration(i)/time.Duration(steps))
			}
			mean := sum / float64(steps)
			got := Over(250, age, period)
			is.True(got > mean-0.01 && got < mean+0.01)
		}
	}
}

// TestLongCallIsNotDividedWhole guards against an upstream that is slow by itself and looks fast for a pace that held only at
// the end of its call.
func TestLongCallIsNotDividedWhole(t *testing.T) {
	is := is.New(t)
	is.Equal(Normal(500*time.Millisecond, 2.5), 200*time.Millisecond)
	is.Equal(Normal(3*time.Second, 2.5), 2640*time.Millisecond)
	is.Equal(Normal(100*time.Millisecond, 0.5), 200*time.Millisecond)
}
