package exchange

import (
	"io"
	"math/bits"
	"sync"
)

const (
	// firstPartBytes is the size of the first part of a body.
	firstPartBytes = 1 << firstPartBits
	// maxPartBytes is the size of the largest part of a body.
	maxPartBytes = 1 << maxPartBits

	firstPartBits, maxPartBits = 10, 20
)

// freeParts holds parts for reuse, by the logarithm of their size. Otherwise bodies that are refused would leave garbage faster than it is
// collected, since their memory counts as free at once.
var freeParts [maxPartBits + 1]sync.Pool

// newPart returns an empty part with a capacity of size bytes, a power of two.
func newPart(size int) []byte {
	if part, ok := freeParts[bits.Len(uint(size))-1].Get().(*[]byte); ok {
		return (*part)[:0]
	}
	return make([]byte, 0, size)
}

// parts is a body of unknown length while it is read: a list of parts, of which all but the last are full.
type parts struct {
	list [][]byte
	// size is the number of bytes read, allocated the size of all parts.
	size, allocated int
}

// extend appends an empty part, as large as the others together but at most maxPartBytes.
func (p *parts) extend(reserved *Reservation) error {
	next := min(max(p.allocated, firstPartBytes), maxPartBytes)
	if err := reserved.Grow(p.allocated + next); err != nil {
		return err
	}
	p.list = append(p.list, newPart(next))
	p.allocated += next
	return nil
}

// fill reads until the last part is full, or until an error, which is io.EOF at the end of the body.
func (p *parts) fill(body io.Reader) error {
	if len(p.list) == 0 {
		return nil
	}
	last := &p.list[len(p.list)-1]
	for len(*last) < cap(*last) {
		n, err := body.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		p.size += n
		if err != nil {
			return err
		}
	}
	return nil
}

// join returns the whole body. Several parts are copied, which takes their size once more until free.
func (p *parts) join(reserved *Reservation) ([]byte, error) {
	if len(p.list) == 1 {
		only := p.list[0]
		p.list = nil
		return only, nil
	}
	defer func() { reserved.shrink(p.size) }()
	if err := reserved.Grow(p.allocated + p.size); err != nil {
		return nil, err
	}
	whole := make([]byte, 0, p.size)
	for _, part := range p.list {
		whole = append(whole, part...)
	}
	return whole, nil
}

// free gives the parts back for reuse. They must not be used afterwards.
func (p *parts) free() {
	for _, part := range p.list {
		freeParts[bits.Len(uint(cap(part)))-1].Put(&part)
	}
	p.list = nil
}
