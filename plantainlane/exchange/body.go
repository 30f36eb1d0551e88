package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

var (
	// ErrTooLarge reports a body that is longer than allowed.
	ErrTooLarge = errors.New("exchange: body too large")
	// ErrNoMemory reports a body for which no memory is left beside the others.
	ErrNoMemory = errors.New("exchange: too many large bodies at the same time")
)

const (
	// AnswerBytes bounds the bytes of all answers that are collected at the same time.
	AnswerBytes = 32 << 20
	// freeBytes is the size up to which a body doesn't count towards a Memory.
	freeBytes = 16 << 10
)

// Memory bounds the memory for bodies that are held at the same time. It is safe for concurrent use.
type Memory struct {
	// MakeRoom makes users of the memory give up bytes soon, and returns false if there are none that can. It may be nil, and is set before
	// the memory is used.
	MakeRoom func(bytes int64) bool

	bytes int64
	left  *semaphore.Weighted
}

// roomTimeout is how long a body waits for memory that others give up.
const roomTimeout = 200 * time.Millisecond

// NewMemory returns a Memory for a number of bytes.
func NewMemory(bytes int64) *Memory {
	return &Memory{bytes: bytes, left: semaphore.NewWeighted(bytes)}
}

// counted returns the bytes that a body of size bytes counts for. One that is larger than the whole Memory counts for all of it, so that it
// can be held if no other one is.
func (m *Memory) counted(size int) int64 {
	return min(max(int64(size)-freeBytes, 0), m.bytes)
}

// Reservation is the memory that one body uses. It must not be used concurrently.
type Reservation struct {
	memory *Memory
	// bytes is the reserved size.
	bytes int64
}

// Reserve returns a Reservation of nothing. The caller must release it.
func (m *Memory) Reserve() *Reservation { return &Reservation{memory: m} }

// Grow raises the reservation for a body of size bytes. It returns ErrNoMemory if there is no memory left.
func (r *Reservation) Grow(size int) error {
	more := r.memory.counted(size) - r.bytes
	if more <= 0 {
		return nil
	}
	if !r.memory.left.TryAcquire(more) && !r.memory.waitFor(more) {
		return errors.Wrapf(ErrNoMemory, "body of %d bytes", size)
	}
	r.bytes += more
	return nil
}

// waitFor acquires bytes that other users give up.
func (m *Memory) waitFor(bytes int64) bool {
	if m.MakeRoom == nil || !m.MakeRoom(bytes) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), roomTimeout)
	defer cancel()
	return m.left.Acquire(ctx, bytes) == nil
}

// Held returns the number of reserved bytes.
func (r *Reservation) Held() int64 { return r.bytes }

// Release returns the reserved memory.
func (r *Reservation) Release() {
	r.memory.left.Release(r.bytes)
	r.bytes = 0
}

// shrink lowers the reservation to that for a body of size bytes.
func (r *Reservation) shrink(size int) {
	if unneeded := r.bytes - r.memory.counted(size); unneeded > 0 {
		r.memory.left.Release(unneeded)
		r.bytes -= unneeded
	}
}

// ReadAll reads to the end of body, and keeps the reservation for it until Release. It returns no part of the body besides an
// error: ErrTooLarge if there are more than maxBytes, ErrNoMemory if too many large bodies are held at the same time.
//
// The parts are kept until the end, since a buffer that grows leaves copies of itself, which together are larger than
// what was reserved for them.
func (r *Reservation) ReadAll(body io.Reader, maxBytes int64) ([]byte, error) {
	var read parts
	defer read.free()
	for {
		err := read.fill(body)
		switch {
		case int64(read.size) > maxBytes:
			return nil, errors.Wrapf(ErrTooLarge, "maximum %d bytes", maxBytes)
		case errors.Is(err, io.EOF):
			return read.join(r)
		case err != nil:
			return nil, err
		}
		if err := read.extend(r); err != nil {
			return nil, err
		}
	}
}

// ReadAll reads to the end of an answer's body, as Reservation.ReadAll does. The body doesn't count any more when it is read.
func (m *Memory) ReadAll(body io.Reader, maxBytes int64) ([]byte, error) {
	reserved := m.Reserve()
	defer reserved.Release()
	return reserved.ReadAll(body, maxBytes)
}

// ReadBody reads the whole body of an answer and closes it. It returns an error if the body is truncated, and the errors
// of ReadAll. After an error the connection must be closed.
func (m *Memory) ReadBody(res *http.Response, maxBytes int64) ([]byte, error) {
	reserved := m.Reserve()
	defer reserved.Release()
	return reserved.ReadBody(res, maxBytes)
}

// ReadBody does the same, and keeps the reservation for the body until Release.
func (r *Reservation) ReadBody(res *http.Response, maxBytes int64) ([]byte, error) {
	defer res.Body.Close()
	if res.ContentLength > maxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, maximum %d bytes", res.ContentLength, maxBytes)
	}
	body, err := r.ReadAll(res.Body, maxBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	return body, nil
}
