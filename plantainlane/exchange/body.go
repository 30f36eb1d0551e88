package exchange

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

var (
	// ErrTooLarge reports an answer whose body is longer than allowed.
	ErrTooLarge = errors.New("exchange: body too large")
	// ErrNoMemory reports an answer for which no memory is left beside the answers that are being collected.
	ErrNoMemory = errors.New("exchange: too many large answers at the same time")
)

const (
	// maxCollectedBytes bounds the bytes of all answers that are collected in one Memory at the same time.
	maxCollectedBytes = 32 << 20
	// freeBytes is the size up to which an answer doesn't count towards maxCollectedBytes.
	freeBytes = 64 << 10
)

// Memory bounds the memory for answers that are being collected. It is safe for concurrent use.
type Memory struct {
	left *semaphore.Weighted
}

// NewMemory returns a Memory for maxCollectedBytes.
func NewMemory() *Memory { return &Memory{left: semaphore.NewWeighted(maxCollectedBytes)} }

// Reservation is the memory that one answer uses while it is collected. It must not be used concurrently.
type Reservation struct {
	memory *Memory
	// bytes is the reserved size.
	bytes int64
}

// Reserve returns a Reservation of nothing. The caller must release it.
func (m *Memory) Reserve() *Reservation { return &Reservation{memory: m} }

// Grow raises the reservation for an answer of size bytes. It returns ErrNoMemory if there is no memory left.
func (r *Reservation) Grow(size int) error {
	more := int64(size) - freeBytes - r.bytes
	if more <= 0 {
		return nil
	}
	if !r.memory.left.TryAcquire(more) {
		return errors.Wrapf(ErrNoMemory, "answer of %d bytes", size)
	}
	r.bytes += more
	return nil
}

// Release returns the reserved memory.
func (r *Reservation) Release() {
	r.memory.left.Release(r.bytes)
	r.bytes = 0
}

// ReadAll reads to the end of body. It returns no part of the body besides an error: ErrTooLarge if there are more than
// maxBytes, ErrNoMemory if too many large answers are read at the same time.
//
// The parts are kept until the end, since a buffer that grows leaves copies of itself, which together are larger than
// what was reserved for them.
func (m *Memory) ReadAll(body io.Reader, maxBytes int64) ([]byte, error) {
	reserved := m.Reserve()
	defer reserved.Release()
	var read parts
	for {
		err := read.fill(body)
		switch {
		case int64(read.size) > maxBytes:
			return nil, errors.Wrapf(ErrTooLarge, "maximum %d bytes", maxBytes)
		case errors.Is(err, io.EOF):
			return read.join(reserved)
		case err != nil:
			return nil, err
		}
		if err := read.extend(reserved); err != nil {
			return nil, err
		}
	}
}

// ReadBody reads the whole body of an answer and closes it. It returns an error if the body is truncated, and the errors
// of ReadAll. After an error the connection must be closed.
func (m *Memory) ReadBody(res *http.Response, maxBytes int64) ([]byte, error) {
	defer res.Body.Close()
	if res.ContentLength > maxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, maximum %d bytes", res.ContentLength, maxBytes)
	}
	body, err := m.ReadAll(res.Body, maxBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	return body, nil
}
