package pace

import (
	"testing"
	"time"
)

// TestLongCallIsNotDividedWhole guards against an upstream that is slow by itself and looks fast for a pace that held only at
// the end of its call.
func TestLongCallIsNotDividedWhole(t *testing.T) {
	if got := Normal(3*time.Second, 2.5); got != 2640*time.Millisecond {
		t.Error(got)
	}
}
