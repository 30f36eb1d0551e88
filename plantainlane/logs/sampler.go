package logs

import (
	"sync"
	"time"
)

// Sampler bounds how many lines of a usual outcome are logged. It is safe for concurrent use.
type Sampler struct {
	// PerSecond is the number of lines let through each second.
	PerSecond int

	mu      sync.Mutex
	second  int64
	passed  int
	leftOut int
}

// Allow tells whether a line is to be logged, and how many were left out since the last one that was.
func (s *Sampler) Allow(now time.Time) (ok bool, leftOut int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		s.second, s.passed = second, 0
	}
	if s.passed >= s.PerSecond {
		s.leftOut++
		return false, 0
	}
	s.passed++
	leftOut, s.leftOut = s.leftOut, 0
	return true, leftOut
}
