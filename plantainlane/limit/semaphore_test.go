package limit

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func newWaiter(workspace string, weight float64, deadline time.Duration) *Waiter {
	return &Waiter{Workspace: workspace, Weight: weight, Deadline: epoch.Add(deadline)}
}

// TestQueueSharesByWeightAndDeadline guards against a workspace with many waiting requests that takes the capacity of
// others, and against serving a workspace's requests in another order than by deadline.
func TestQueueSharesByWeightAndDeadline(t *testing.T) {
	is := is.New(t)
	q := NewFairQueue(100)
	for i := range 30 {
		q.Push(newWaiter("large", 1, time.Duration(100-i)*time.Second))
	}
	for i := range 9 {
		q.Push(newWaiter("heavy", 3, time.Duration(i+1)*time.Second))
		q.Push(newWaiter("small", 1, time.Duration(i+1)*time.Second))
	}
	counts := map[string]int{}
	last := map[string]time.Time{}
	for range 15 {
		w := q.Pop()
		counts[w.Workspace]++
		is.True(w.Deadline.After(last[w.Workspace])) // earliest deadline first
		last[w.Workspace] = w.Deadline
	}
	is.Equal(counts, map[string]int{"large": 3, "heavy": 9, "small": 3})
}

// TestQueueServesNewlyActiveWorkspaceNext guards against a new request of an idle workspace that waits behind the
// backlog of another workspace.
func TestQueueServesNewlyActiveWorkspaceNext(t *testing.T) {
	is := is.New(t)
	q := NewFairQueue(100)
	for range 50 {
		q.Push(newWaiter("large", 1, time.Second))
	}
	for range 20 {
		q.Pop()
	}
	q.Push(newWaiter("small", 1, time.Second))
	first, second := q.Pop(), q.Pop()
	is.True(first.Workspace == "small" || second.Workspace == "small")
}

// TestFullQueueEvictsFromLongestFlow guards against a workspace that fills the queue and so keeps others out.
func TestFullQueueEvictsFromLongestFlow(t *testing.T) {
	is := is.New(t)
	q := NewFairQueue(10)
	for i := range 10 {
		is.Equal(q.Push(newWaiter("large", 1, time.Duration(i+1)*time.Second)), nil)
	}
	evicted := q.Push(newWaiter("small", 1, time.Hour))
	is.Equal(evicted.Workspace, "large")
	is.Equal(evicted.Deadline, epoch.Add(10*time.Second))
	late := newWaiter("large", 1, time.Hour)
	is.Equal(q.Push(late), late)
	is.Equal(q.Len(), 10)
}

// TestSemaphoreServesByDeadlineAndRefusesTooLate guards against serving requests in the order of arrival, and against
// a request that waits or gets a slot although it can't finish before its deadline any more.
func TestSemaphoreServesByDeadlineAndRefusesTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		s := NewSemaphore(1, 10)
		acquire := func(workspace string, deadline, needs time.Duration) error {
			return s.Acquire(t.Context(), time.Now(), &Waiter{
				Workspace: workspace, Weight: 1, Deadline: start.Add(deadline), Needs: needs,
			})
		}
		is.NoErr(acquire("w", time.Second, 0))
		is.True(errors.Is(acquire("w", time.Second, 2*time.Second), ErrDeadline))
		results := make(chan string, 3)
		for i, deadline := range []time.Duration{900, 300, 600} {
			go func() {
				err := acquire("w", deadline*time.Millisecond, 100*time.Millisecond)
				results <- fmt.Sprint(i, err == nil, time.Since(start))
				if err == nil {
					time.Sleep(100 * time.Millisecond)
					s.Release(time.Now(), 100*time.Millisecond)
				}
			}()
		}
		time.Sleep(400 * time.Millisecond)
		s.Release(time.Now(), 400*time.Millisecond)
		is.Equal(<-results, "1 false 200ms") // refused at its latest start, before a slot is free
		is.Equal(<-results, "2 true 400ms")
		is.Equal(<-results, "0 true 500ms")
		time.Sleep(time.Second)
		is.Equal(s.InFlight(), 0)
		is.Equal(s.Waiting(), 0)
	})
}

// TestSemaphoreRefusesEarlyWhenQueueIsTooLong guards against queuing a request that is expected to get a slot too
// late for its deadline: it is refused immediately.
func TestSemaphoreRefusesEarlyWhenQueueIsTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSemaphore(2, 100)
		start := time.Now()
		deadline := start.Add(500 * time.Millisecond)
		refused := make(chan time.Duration, 20)
		for range 12 {
			go func() {
				w := &Waiter{Workspace: "w", Weight: 1, Deadline: deadline, Needs: 90 * time.Millisecond}
				if err := s.Acquire(t.Context(), time.Now(), w); err != nil {
					refused <- time.Since(start)
					return
				}
				time.Sleep(100 * time.Millisecond)
				s.Release(time.Now(), 100*time.Millisecond)
			}()
			synctest.Wait()
			s.recordHoldTime(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		is.Equal(len(refused), 2) // two slots serve ten requests in 500 ms
		is.Equal(<-refused, time.Duration(0))
		is.Equal(<-refused, time.Duration(0))
	})
}

// TestSemaphoreAppliesChangedLimits guards against limits that change only for new requests: lowering the limit must
// not free the slot of a request in flight.
func TestSemaphoreAppliesChangedLimits(t *testing.T) {
	is := is.New(t)
	s := NewSemaphore(1, 10)
	acquire := func() error {
		return s.Acquire(t.Context(), epoch, &Waiter{Workspace: "w", Weight: 1, Deadline: epoch})
	}
	is.NoErr(acquire())
	is.True(acquire() != nil)
	s.SetLimits(epoch, 2, 10)
	is.NoErr(acquire())
	s.SetLimits(epoch, 1, 10)
	s.Release(epoch, 0)
	is.True(acquire() != nil) // one request is still in flight
	is.Equal(s.InFlight(), 1)
}
