package logs

import (
	"sync"
	"time"
)

// Sampler limits the number of lines logged for a frequent outcome. It is safe for concurrent use.
type Sampler struct {
	// PerSecond is the number of lines allowed in each second of the clock.
	PerSecond int

	mu sync.Mutex
	// second is the current second, counted since 1970, and allowed the number of lines allowed in it.
	second  int64
	allowed int
	// leftOut is the number of lines left out since the last allowed line.
	leftOut int
}

// Allow reports whether a line may be logged at the time now. If it may, leftOut is the number of lines left out since
// the previous line that was allowed. A nil Sampler allows all lines.
func (s *Sampler) Allow(now time.Time) (ok bool, leftOut int) {
	if s == nil {
		return true, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		s.second, s.allowed = second, 0
	}
	if s.allowed >= s.PerSecond {
		s.leftOut++
		return false, 0
	}
	s.allowed++
	leftOut, s.leftOut = s.leftOut, 0
	return true, leftOut
}
