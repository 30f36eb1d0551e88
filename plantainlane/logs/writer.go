// Package logs writes an instance's log lines in batches, without blocking the code that logs them.
package logs

import (
	"io"
	"sync"
	"time"
)

const (
	// flushDelay is how long a line is buffered at most while the output accepts data.
	flushDelay = 100 * time.Millisecond
	// batchBytes is the total size of buffered lines at which they are written without waiting for flushDelay.
	batchBytes = 32 << 10
	// maxBufferedBytes is the largest total size of buffered lines. It is reached if the output accepts no data.
	maxBufferedBytes = 512 << 10
	// closeTimeout is how long Close waits at most until the last lines are written.
	closeTimeout = time.Second
)

// Writer writes lines to an output in batches. Write never waits for the output: lines that don't fit into the buffer
// are dropped and counted. It is safe for concurrent use.
type Writer struct {
	out io.Writer
	// droppedLine returns the line that reports how many lines were dropped.
	droppedLine func(count int) []byte

	mu sync.Mutex
	// buffered holds whole lines that are not written yet. spare is the buffer of the previous flush, for reuse.
	buffered, spare []byte
	// dropped is the number of lines dropped since the last report of dropped lines.
	dropped int
	// isScheduled is true while a flush is scheduled or running.
	isScheduled bool
	// timer runs the flushes; nil until the first one is scheduled.
	timer *time.Timer
	// idle is signalled when a flush has ended and no lines are buffered.
	idle *sync.Cond
}

// NewWriter returns a Writer to out. After lines were dropped, droppedLine returns the line that reports their number.
func NewWriter(out io.Writer, droppedLine func(count int) []byte) *Writer {
	w := &Writer{out: out, droppedLine: droppedLine}
	w.idle = sync.NewCond(&w.mu)
	return w
}

// Write buffers a whole line, or drops it if the buffer is full. It always returns len(line) and no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffered)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	oldSize := len(w.buffered)
	w.buffered = append(w.buffered, line...)
	switch {
	case !w.isScheduled:
		w.schedule(flushDelay)
	case oldSize < batchBytes && len(w.buffered) >= batchBytes:
		w.flushSoon()
	}
	return len(line), nil
}

// schedule schedules a flush after a delay. The Writer's lock is held.
func (w *Writer) schedule(after time.Duration) {
	w.isScheduled = true
	if w.timer == nil {
		w.timer = time.AfterFunc(after, w.flush)
		return
	}
	w.timer.Reset(after)
}

// flushSoon lets the scheduled flush run immediately, unless a flush is running. The Writer's lock is held.
func (w *Writer) flushSoon() {
	if w.timer.Stop() {
		w.timer.Reset(0)
	}
}

// flush writes the buffered lines, and the report of dropped lines if there were any. Only one flush runs at a time.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.buffered
	w.buffered, w.spare = w.spare[:0], nil
	if w.dropped > 0 {
		lines = append(lines, w.droppedLine(w.dropped)...)
		w.dropped = 0
	}
	w.mu.Unlock()
	// Lines are lost if the output returns an error: there is no other place to report the error.
	_, _ = w.out.Write(lines)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spare = lines[:0]
	if len(w.buffered) > 0 || w.dropped > 0 {
		w.schedule(flushDelay)
		return
	}
	w.isScheduled = false
	w.idle.Broadcast()
}

// Close waits until the lines passed to Write so far have reached the output, for closeTimeout at most.
func (w *Writer) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	timedOut := false
	stop := time.AfterFunc(closeTimeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		timedOut = true
		w.idle.Broadcast()
	})
	defer stop.Stop()
	for w.isScheduled && !timedOut {
		w.flushSoon()
		w.idle.Wait()
	}
}
