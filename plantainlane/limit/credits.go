package limit

import (
	"math/bits"
	"runtime"
	"sync"
	"sync/atomic"
)

const (
	maxCells = 16
	// cachedShare is the part of all credits, as 1/cachedShare, that cells may hold between them.
	cachedShare = 4
)

// cell is one processor's cache of a workspace's credits. It fills one cache line.
type cell struct {
	requests atomic.Int64
	permits  atomic.Int64
	tokens   atomic.Int64
	units    atomic.Int64
	// arrivals counts the requests that came, admitted or not.
	arrivals atomic.Int64
	// generated counts the tokens that were generated.
	generated atomic.Int64
	_         [16]byte
}

// cellCount returns a power of two that suits the processors in use.
func cellCount() int {
	n := min(runtime.GOMAXPROCS(0), maxCells)
	return 1 << bits.Len(uint(n-1))
}

// processors hands out small numbers that differ between processors most of the time, without a lock.
type processors struct {
	pool sync.Pool
	next atomic.Uint32
}

func newProcessors() *processors {
	p := &processors{}
	p.pool.New = func() any {
		n := p.next.Add(1)
		return &n
	}
	return p
}

func (p *processors) current() uint32 {
	n := p.pool.Get().(*uint32)
	id := *n
	p.pool.Put(n)
	return id
}

// credits is a number that many goroutines take from. Cells cache part of it, so that takers rarely meet at
// the centre. The sum of centre and cells never grows but by give and add.
type credits struct {
	centre atomic.Int64
	// batch is how much a cell takes beyond what it needs at once.
	batch atomic.Int64
	cells []cell
	field func(*cell) *atomic.Int64
}

func (c *credits) setSize(total int64) {
	c.batch.Store(total / int64(cachedShare*len(c.cells)))
}

// take takes n credits, all or none.
func (c *credits) take(at uint32, n int64) bool {
	cached := c.cell(at)
	for {
		v := cached.Load()
		if v < n {
			break
		}
		if cached.CompareAndSwap(v, v-n) {
			return true
		}
	}
	return c.takeCentre(cached, n)
}

func (c *credits) cell(at uint32) *atomic.Int64 {
	return c.field(&c.cells[at%uint32(len(c.cells))])
}

func (c *credits) takeCentre(cached *atomic.Int64, n int64) bool {
	for {
		v := c.centre.Load()
		if v < n {
			return false
		}
		extra := min(c.batch.Load(), v-n)
		if c.centre.CompareAndSwap(v, v-n-extra) {
			if extra > 0 {
				cached.Add(extra)
			}
			return true
		}
	}
}

// give returns n credits through a cell.
func (c *credits) give(at uint32, n int64) {
	cached := c.cell(at)
	v := cached.Add(n)
	batch := c.batch.Load()
	if v >= 0 && v <= 2*batch {
		return
	}
	keep := min(max(v, 0), batch)
	if cached.CompareAndSwap(v, keep) {
		c.centre.Add(v - keep)
	}
}

// takeAll takes n credits, calling in what cells hold when needed.
func (c *credits) takeAll(at uint32, n int64) bool {
	if c.take(at, n) {
		return true
	}
	if c.batch.Load() == 0 {
		return false
	}
	c.collect()
	return c.take(at, n)
}

// collect moves what the cells hold to the centre.
func (c *credits) collect() {
	for i := range c.cells {
		if v := c.field(&c.cells[i]).Swap(0); v != 0 {
			c.centre.Add(v)
		}
	}
}

// total is the sum of centre and cells.
func (c *credits) total() int64 {
	sum := c.centre.Load()
	for i := range c.cells {
		sum += c.field(&c.cells[i]).Load()
	}
	return sum
}
