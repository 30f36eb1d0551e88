// Package logs writes an instance's log lines: in batches, and without holding up who logs.
package logs

import (
	"io"
	"sync"
	"time"
)

const (
	// flushEvery is how long a line waits at most until it is written.
	flushEvery = 100 * time.Millisecond
	// batchBytes is the size from which waiting lines are written at once.
	batchBytes = 32 << 10
	// maxWaitingBytes bounds the lines that wait while the output takes none.
	maxWaitingBytes = 512 << 10
	// closeTime bounds how long the last lines are waited for.
	closeTime = time.Second
)

// Writer passes lines on to an output in batches. Write never waits for the output: lines for which there is no room
// are left out and counted. It is safe for concurrent use.
type Writer struct {
	out io.Writer
	// leftOut returns the line that tells how many lines were left out.
	leftOut func(count int) []byte

	mu sync.Mutex
	// waiting holds whole lines; spare is the buffer used before.
	waiting, spare []byte
	// dropped counts the lines left out since that was told last.
	dropped int
	// armed tells that a flush is to come or under way.
	armed bool
	timer *time.Timer
	// idle is signalled when a flush has ended and nothing waits.
	idle *sync.Cond
}

// NewWriter returns a writer to out. LeftOut returns the line that tells how many lines were left out.
func NewWriter(out io.Writer, leftOut func(count int) []byte) *Writer {
	w := &Writer{out: out, leftOut: leftOut}
	w.idle = sync.NewCond(&w.mu)
	return w
}

// Write takes a whole line. It returns no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(line) > maxWaitingBytes {
		w.dropped++
		return len(line), nil
	}
	before := len(w.waiting)
	w.waiting = append(w.waiting, line...)
	switch {
	case !w.armed:
		w.arm(flushEvery)
	case before < batchBytes && len(w.waiting) >= batchBytes:
		w.hasten()
	}
	return len(line), nil
}

func (w *Writer) arm(after time.Duration) {
	w.armed = true
	if w.timer == nil {
		w.timer = time.AfterFunc(after, w.flush)
		return
	}
	w.timer.Reset(after)
}

// hasten has the next flush come at once, unless one is under way.
func (w *Writer) hasten() {
	if w.timer.Stop() {
		w.timer.Reset(0)
	}
}

// flush writes what waits. One flush runs at a time.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.waiting
	w.waiting, w.spare = w.spare[:0], nil
	if w.dropped > 0 {
		lines = append(lines, w.leftOut(w.dropped)...)
		w.dropped = 0
	}
	w.mu.Unlock()
	// Lines that the output refuses are lost: there is nowhere to tell it.
	_, _ = w.out.Write(lines)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spare = lines[:0]
	if len(w.waiting) > 0 || w.dropped > 0 {
		w.arm(flushEvery)
		return
	}
	w.armed = false
	w.idle.Broadcast()
}

// Close waits until what was logged is written, for a second at most.
func (w *Writer) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := false
	stop := time.AfterFunc(closeTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		late = true
		w.idle.Broadcast()
	})
	defer stop.Stop()
	for w.armed && !late {
		w.hasten()
		w.idle.Wait()
	}
}
