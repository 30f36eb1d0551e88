package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestKeptEntriesTakeMemory guards against entries that stay in memory after a snapshot without a bound on their size: a thousand large
// configurations are more than a process has.
func TestKeptEntriesTakeMemory(t *testing.T) {
	is := is.New(t)
	start, err := Bootstrap("r0", "log")
	is.NoErr(err)
	now := epoch
	n, err := New(Config{ID: "r0", KeepBytes: 10_000}, start, now)
	is.NoErr(err)
	settle := func() {
		for range 20 {
			now = now.Add(50 * time.Millisecond)
			n.Tick(now)
			if rd := n.Ready(now); rd.Batch > 0 {
				n.Persisted(rd.Batch, now)
			}
		}
	}
	settle()
	for range 100 {
		_, err := n.Propose(make([]byte, 1000))
		is.NoErr(err)
	}
	settle()
	is.Equal(n.applied, n.log.last())
	is.NoErr(n.Compact(n.applied, []byte("state")))
	size := 0
	for _, e := range n.log.entries {
		size += entryOverhead + len(e.Data)
	}
	is.True(size <= 10_000)
	is.True(len(n.log.entries) >= 9)
}
