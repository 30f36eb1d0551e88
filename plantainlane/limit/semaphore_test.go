package limit

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func waiting(workspace string, weight float64, deadline time.Duration) *Waiter {
	return &Waiter{Workspace: workspace, Weight: weight, Deadline: epoch.Add(deadline)}
}

func TestQueueSharesByWeightAndDeadline(t *testing.T) {
	is := is.New(t)
	q := NewQueue(100)
	for i := range 30 {
		q.Push(waiting("large", 1, time.Duration(100-i)*time.Second))
	}
	for i := range 9 {
		q.Push(waiting("heavy", 3, time.Duration(i+1)*time.Second))
		q.Push(waiting("small", 1, time.Duration(i+1)*time.Second))
	}
	counts := map[string]int{}
	last := map[string]time.Time{}
	for range 15 {
		w := q.Pop()
		counts[w.Workspace]++
		is.True(w.Deadline.After(last[w.Workspace])) // the earliest first
		last[w.Workspace] = w.Deadline
	}
	is.Equal(counts, map[string]int{"large": 3, "heavy": 9, "small": 3})
}

func TestQueueLetsIdleWorkspaceInAtOnce(t *testing.T) {
	is := is.New(t)
	q := NewQueue(100)
	for range 50 {
		q.Push(waiting("large", 1, time.Second))
	}
	for range 20 {
		q.Pop()
	}
	q.Push(waiting("small", 1, time.Second))
	first, second := q.Pop(), q.Pop()
	is.True(first.Workspace == "small" || second.Workspace == "small")
}

func TestFullQueueDropsFromTheLongestLine(t *testing.T) {
	is := is.New(t)
	q := NewQueue(10)
	for i := range 10 {
		is.Equal(q.Push(waiting("large", 1, time.Duration(i+1)*time.Second)), nil)
	}
	dropped := q.Push(waiting("small", 1, time.Hour))
	is.Equal(dropped.Workspace, "large")
	is.Equal(dropped.Deadline, epoch.Add(10*time.Second))
	late := waiting("large", 1, time.Hour)
	is.Equal(q.Push(late), late)
	is.Equal(q.Len(), 10)
}

func TestGateServesInTurnAndRefusesTheHopeless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		g := NewSemaphore(1, 10)
		enter := func(workspace string, deadline, needs time.Duration) error {
			return g.Acquire(t.Context(), time.Now(), &Waiter{
				Workspace: workspace, Weight: 1, Deadline: start.Add(deadline), Needs: needs,
			})
		}
		is.NoErr(enter("w", time.Second, 0))
		is.True(errors.Is(enter("w", time.Second, 2*time.Second), ErrDeadline))
		ended := make(chan string, 3)
		for i, deadline := range []time.Duration{900, 300, 600} {
			go func() {
				err := enter("w", deadline*time.Millisecond, 100*time.Millisecond)
				ended <- fmt.Sprint(i, err == nil, time.Since(start))
				if err == nil {
					time.Sleep(100 * time.Millisecond)
					g.Release(time.Now(), 100*time.Millisecond)
				}
			}()
		}
		time.Sleep(400 * time.Millisecond)
		g.Release(time.Now(), 400*time.Millisecond)
		is.Equal(<-ended, "1 false 200ms") // no time left when its turn could still come
		is.Equal(<-ended, "2 true 400ms")
		is.Equal(<-ended, "0 true 500ms")
		time.Sleep(time.Second)
		is.Equal(g.InFlight(), 0)
		is.Equal(g.Waiting(), 0)
	})
}

func TestGateRefusesEarlyWhenTheQueueIsTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewSemaphore(2, 100)
		start := time.Now()
		deadline := start.Add(500 * time.Millisecond)
		refused := make(chan time.Duration, 20)
		for range 12 {
			go func() {
				w := &Waiter{Workspace: "w", Weight: 1, Deadline: deadline, Needs: 90 * time.Millisecond}
				if err := g.Acquire(t.Context(), time.Now(), w); err != nil {
					refused <- time.Since(start)
					return
				}
				time.Sleep(100 * time.Millisecond)
				g.Release(time.Now(), 100*time.Millisecond)
			}()
			synctest.Wait()
			g.observe(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		is.Equal(len(refused), 2) // ten places in 500 ms
		is.Equal(<-refused, time.Duration(0))
		is.Equal(<-refused, time.Duration(0))
	})
}

func TestGateTakesChangedLimits(t *testing.T) {
	is := is.New(t)
	g := NewSemaphore(1, 10)
	ask := func() error {
		return g.Acquire(t.Context(), epoch, &Waiter{Workspace: "w", Weight: 1, Deadline: epoch})
	}
	is.NoErr(ask())
	is.True(ask() != nil)
	g.SetLimits(epoch, 2, 10)
	is.NoErr(ask())
	g.SetLimits(epoch, 1, 10)
	g.Release(epoch, 0)
	is.True(ask() != nil) // one is still in flight
	is.Equal(g.InFlight(), 1)
}
