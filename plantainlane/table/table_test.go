package table

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestTableMatchesMap compares a table with a map over random insertions and removals. It also checks that an older
// version keeps the number of its rows, which a modification that writes to shared memory could change.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		var got Table[int]
		want := make(map[string]int)
		var older Table[int]
		olderLen := 0
		for n := range rapid.IntRange(0, 300).Draw(t, "steps") {
			key := strconv.Itoa(rapid.IntRange(0, 60).Draw(t, "key"))
			if rapid.Bool().Draw(t, "remove") {
				got = got.Without(key)
				delete(want, key)
			} else {
				got = got.With(key, n)
				want[key] = n
			}
			if n == 50 {
				older, olderLen = got, got.Len()
			}
		}
		is.Equal(got.Len(), len(want))
		seen := 0
		for k, v := range got.All() {
			is.Equal(v, want[k])
			seen++
		}
		is.Equal(seen, len(want))
		seen = 0
		for range older.All() {
			seen++
		}
		is.Equal(seen, olderLen)
	})
}

// BenchmarkWith measures an update of one row, which should cost little more in a table with 100 times as many rows.
func BenchmarkWith(b *testing.B) {
	for _, rows := range []int{250, 25_000} {
		b.Run(strconv.Itoa(rows), func(b *testing.B) {
			var t Table[int]
			for i := range rows {
				t = t.With(strconv.Itoa(i), i)
			}
			b.ResetTimer()
			for i := range b.N {
				t = t.With(strconv.Itoa(i%rows), i)
			}
		})
	}
}
