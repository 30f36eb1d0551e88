package route

import (
	"testing"

	"github.com/matryer/is"
)

// TestWeigherChoosesAmongUsable guards against a choice among upstreams that must not be chosen, and without the one that is
// the best by load.
func TestWeigherChoosesAmongUsable(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcements(6, "a", 64)...)
	var ids []string
	q := Query{Service: "encode", Avoid: []string{"a-001"}, Preferred: []string{"a-001", "unknown", "a-002", "a-002", "a-003"}}
	q.Weigh = func(list []State) int {
		ids = nil
		for _, s := range list {
			ids = append(ids, s.ID)
		}
		return 1
	}
	for range 20 {
		target, ok := b.Pick(afterSlowStart, q)
		is.True(ok)
		is.Equal(target.ID, ids[1])
		is.True(len(ids) == 2 || len(ids) == 3) // the best by load may be a preferred one
		target.Done(afterSlowStart, Outcome{Result: Cancelled})
	}
}
