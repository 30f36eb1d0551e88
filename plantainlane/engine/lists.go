package engine

// linkHolder puts an entry first in the list of its block's holders.
func (x *Index) linkHolder(e int32) {
	block := x.entries[e].block
	next, ok := x.holders[block]
	if !ok {
		next = none
	}
	x.entries[e].nextHolder, x.entries[e].prevHolder = next, none
	if next != none {
		x.entries[next].prevHolder = e
	}
	x.holders[block] = e
}

// unlinkHolder removes an entry from the list of its block's holders.
func (x *Index) unlinkHolder(e int32) {
	it := &x.entries[e]
	if it.nextHolder != none {
		x.entries[it.nextHolder].prevHolder = it.prevHolder
	}
	switch {
	case it.prevHolder != none:
		x.entries[it.prevHolder].nextHolder = it.nextHolder
	case it.nextHolder != none:
		x.holders[it.block] = it.nextHolder
	default:
		delete(x.holders, it.block)
	}
}

// linkBlock puts an entry first in the list of its engine's blocks, as the most recently used one.
func (x *Index) linkBlock(e int32) {
	v := &x.engines[x.entries[e].engine]
	x.entries[e].nextBlock, x.entries[e].prevBlock = v.newest, none
	if v.newest != none {
		x.entries[v.newest].prevBlock = e
	} else {
		v.oldest = e
	}
	v.newest = e
}

// unlinkBlock removes an entry from the list of its engine's blocks.
func (x *Index) unlinkBlock(e int32) {
	it := &x.entries[e]
	v := &x.engines[it.engine]
	if it.nextBlock != none {
		x.entries[it.nextBlock].prevBlock = it.prevBlock
	} else {
		v.oldest = it.prevBlock
	}
	if it.prevBlock != none {
		x.entries[it.prevBlock].nextBlock = it.nextBlock
	} else {
		v.newest = it.nextBlock
	}
}
