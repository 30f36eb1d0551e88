package instance

import (
	"runtime/metrics"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWaitsForProcessorAreThoseSinceLastLook guards against a line that shows the waits of the start for ever.
func TestWaitsForProcessorAreThoseSinceLastLook(t *testing.T) {
	is := is.New(t)
	u := processorUse{waits: []uint64{5, 5, 50}}
	h := &metrics.Float64Histogram{Counts: []uint64{100, 8, 50}, Buckets: []float64{0, 0.01, 0.1, 1}}
	is.Equal(u.newWaits(h), 10*time.Millisecond)
	u.waits = h.Counts
	is.Equal(u.newWaits(h), time.Duration(0))
}
