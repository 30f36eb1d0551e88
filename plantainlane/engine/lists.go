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
	ent := &x.entries[e]
	if ent.nextHolder != none {
		x.entries[ent.nextHolder].prevHolder = ent.prevHolder
	}
	switch {
	case ent.prevHolder != none:
		x.entries[ent.prevHolder].nextHolder = ent.nextHolder
	case ent.nextHolder != none:
		x.holders[ent.block] = ent.nextHolder
	default:
		delete(x.holders, ent.block)
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
	ent := &x.entries[e]
	v := &x.engines[ent.engine]
	if ent.nextBlock != none {
		x.entries[ent.nextBlock].prevBlock = ent.prevBlock
	} else {
		v.oldest = ent.prevBlock
	}
	if ent.prevBlock != none {
		x.entries[ent.prevBlock].nextBlock = ent.nextBlock
	} else {
		v.newest = ent.nextBlock
	}
}
