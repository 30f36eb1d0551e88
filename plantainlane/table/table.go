// Package table provides an immutable table keyed by string. A changed table shares all but the changed
// row's bucket with the one it came from, so that a version can be published to readers on other
// goroutines at a cost that does not depend on the number of rows.
package table

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

const fan = 64

type row[V any] struct {
	key   string
	value V
}

type branch[V any] [fan][]row[V]

// Table maps strings to values. The zero value is an empty table. A Table is never changed: With and
// Without return another one, and readers need no lock.
type Table[V any] struct {
	root *[fan]*branch[V]
	rows int
}

func slots(key string) (int, int) {
	h := xxhash.Sum64String(key)
	return int(h % fan), int(h / fan % fan)
}

// Len returns the number of rows.
func (t Table[V]) Len() int {
	return t.rows
}

// Get returns the value of key and whether there is one.
func (t Table[V]) Get(key string) (V, bool) {
	if t.root != nil {
		i, j := slots(key)
		if b := t.root[i]; b != nil {
			for _, r := range b[j] {
				if r.key == key {
					return r.value, true
				}
			}
		}
	}
	var zero V
	return zero, false
}

// Has tells whether key has a value.
func (t Table[V]) Has(key string) bool {
	_, ok := t.Get(key)
	return ok
}

// With returns a table in which key has the given value.
func (t Table[V]) With(key string, value V) Table[V] {
	out, bucket := t.copyFor(key)
	for i, r := range *bucket {
		if r.key == key {
			changed := make([]row[V], len(*bucket))
			copy(changed, *bucket)
			changed[i].value = value
			*bucket = changed
			return out
		}
	}
	grown := make([]row[V], len(*bucket), len(*bucket)+1)
	copy(grown, *bucket)
	*bucket = append(grown, row[V]{key, value})
	out.rows++
	return out
}

// Without returns a table that has no value for key.
func (t Table[V]) Without(key string) Table[V] {
	if !t.Has(key) {
		return t
	}
	out, bucket := t.copyFor(key)
	kept := make([]row[V], 0, len(*bucket)-1)
	for _, r := range *bucket {
		if r.key != key {
			kept = append(kept, r)
		}
	}
	*bucket = kept
	out.rows--
	return out
}

func (t Table[V]) copyFor(key string) (Table[V], *[]row[V]) {
	i, j := slots(key)
	root := new([fan]*branch[V])
	if t.root != nil {
		*root = *t.root
	}
	b := new(branch[V])
	if root[i] != nil {
		*b = *root[i]
	}
	root[i] = b
	return Table[V]{root: root, rows: t.rows}, &b[j]
}

// All returns the rows in an order that depends on their keys and the order of their insertion only.
func (t Table[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if t.root == nil {
			return
		}
		for _, b := range t.root {
			if b == nil {
				continue
			}
			for _, bucket := range b {
				for _, r := range bucket {
					if !yield(r.key, r.value) {
						return
					}
				}
			}
		}
	}
}
