package limit

import (
	"math/bits"
	"runtime"
	"sync"
	"sync/atomic"
)

const (
	// maxCells bounds the number of cells, whatever the number of processors.
	maxCells = 16
	// cachedDivisor sets the batch size: one batch in every cell adds up to 1/cachedDivisor of all credits.
	cachedDivisor = 4
)

// cell is a per-processor cache of the credits of a workspace or a Semaphore. It fills one cache line of 64 bytes.
type cell struct {
	// requests, permits, tokens and units are cached credits of the fields with these names in workspace. A Semaphore
	// caches its slots in permits.
	requests atomic.Int64
	permits  atomic.Int64
	tokens   atomic.Int64
	units    atomic.Int64
	// arrivals counts the requests received, admitted or not.
	arrivals atomic.Int64
	// generated counts the generated tokens.
	generated atomic.Int64
	_         [16]byte
}

// cellCount returns the number of cells: GOMAXPROCS, at most maxCells, rounded up to a power of two.
func cellCount() int {
	n := min(runtime.GOMAXPROCS(0), maxCells)
	return 1 << bits.Len(uint(n-1))
}

// processors returns small numbers that differ between processors most of the time, without a lock. It relies on
// sync.Pool, which keeps its items per processor.
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

// current returns the number of the processor that runs the caller, as far as sync.Pool separates them.
func (p *processors) current() uint32 {
	n := p.pool.Get().(*uint32)
	id := *n
	p.pool.Put(n)
	return id
}

// credits is a counter that many goroutines take from. Cells cache part of the credits, so that goroutines rarely
// contend for the pool. Only give and additions to the pool increase the sum of the pool and the cells.
type credits struct {
	pool atomic.Int64
	// batch is the number of credits that a cell takes from the pool beyond the requested ones, to serve later takes.
	batch atomic.Int64
	cells []cell
	// field returns the counter of these credits in a cell.
	field func(*cell) *atomic.Int64
}

// setBatch derives the batch size from the total number of credits.
func (c *credits) setBatch(total int64) {
	c.batch.Store(total / int64(cachedDivisor*len(c.cells)))
}

// take takes n credits from the processor's cell, or else from the pool. It takes all n or none, and reports which.
// Credits cached in other cells are not taken.
func (c *credits) take(processor uint32, n int64) bool {
	cached := c.cell(processor)
	for {
		v := cached.Load()
		if v < n {
			break
		}
		if cached.CompareAndSwap(v, v-n) {
			return true
		}
	}
	return c.takeFromPool(cached, n)
}

// cell returns the counter of these credits in the processor's cell.
func (c *credits) cell(processor uint32) *atomic.Int64 {
	return c.field(&c.cells[processor%uint32(len(c.cells))])
}

// takeFromPool takes n credits from the pool, and up to a batch more for the cell.
func (c *credits) takeFromPool(cached *atomic.Int64, n int64) bool {
	for {
		v := c.pool.Load()
		if v < n {
			return false
		}
		extra := min(c.batch.Load(), v-n)
		if c.pool.CompareAndSwap(v, v-n-extra) {
			if extra > 0 {
				cached.Add(extra)
			}
			return true
		}
	}
}

// give adds n credits, which may be negative, to the processor's cell. A cell that is then below zero is set to zero,
// and one above two batches to one batch; the difference moves to the pool.
func (c *credits) give(processor uint32, n int64) {
	cached := c.cell(processor)
	v := cached.Add(n)
	batch := c.batch.Load()
	if v >= 0 && v <= 2*batch {
		return
	}
	keep := min(max(v, 0), batch)
	if cached.CompareAndSwap(v, keep) {
		c.pool.Add(v - keep)
	}
}

// takeOrCollect takes n credits and reports whether it did. If there are fewer, it first collects the credits cached
// in cells.
func (c *credits) takeOrCollect(processor uint32, n int64) bool {
	if c.take(processor, n) {
		return true
	}
	if c.batch.Load() == 0 {
		return false
	}
	c.collect()
	return c.take(processor, n)
}

// collect moves the credits of all cells to the pool.
func (c *credits) collect() {
	for i := range c.cells {
		if v := c.field(&c.cells[i]).Swap(0); v != 0 {
			c.pool.Add(v)
		}
	}
}

// total returns the sum of the pool and the cells. It is approximate while other goroutines take or give.
func (c *credits) total() int64 {
	sum := c.pool.Load()
	for i := range c.cells {
		sum += c.field(&c.cells[i]).Load()
	}
	return sum
}
