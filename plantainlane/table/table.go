// Package table provides a persistent (immutable) hash table with string keys. A modified copy shares everything with
// the original except the modified row's bucket and the nodes above the bucket. So a modified copy can be published to
// readers on other goroutines, and as long as the buckets are small, the cost of a modification doesn't depend on the
// number of rows.
package table

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// fanout is the number of children of the root and of each branch. The table has fanout * fanout buckets.
const fanout = 64

// row is a key with its value.
type row[V any] struct {
	key   string
	value V
}

// branch is a node below the root. Each of its children is a bucket: the rows whose keys hash to the same indexes.
type branch[V any] [fanout][]row[V]

// Table maps strings to values. The zero value is an empty table. A Table is immutable: With and Without return a
// modified copy, so it is safe for concurrent use without a lock.
type Table[V any] struct {
	root *[fanout]*branch[V]
	rows int
}

// bucketIndexes returns the indexes of a key's branch in the root and of the key's bucket in the branch.
func bucketIndexes(key string) (int, int) {
	h := xxhash.Sum64String(key)
	return int(h % fanout), int(h / fanout % fanout)
}

// Len returns the number of rows.
func (t Table[V]) Len() int {
	return t.rows
}

// Get returns the value of key, and reports whether the table has the key.
func (t Table[V]) Get(key string) (V, bool) {
	if t.root != nil {
		i, j := bucketIndexes(key)
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

// Has reports whether the table has the key.
func (t Table[V]) Has(key string) bool {
	_, ok := t.Get(key)
	return ok
}

// With returns a copy of the table in which key has the given value.
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

// Without returns a copy of the table without key. It returns the table itself if the table doesn't have the key.
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

// copyFor returns a copy of the table for a modification of key, and a pointer to the key's bucket in the copy. The
// root and the branch are copied, but the rows of the bucket are shared with the original. So the caller must not
// change the rows, but set the bucket to another slice.
func (t Table[V]) copyFor(key string) (Table[V], *[]row[V]) {
	i, j := bucketIndexes(key)
	root := new([fanout]*branch[V])
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

// All returns an iterator over the keys and values. The order depends only on the keys and on the order in which they
// were inserted.
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
