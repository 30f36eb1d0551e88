package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// TestLostLeaveOfUpstream guards against an instance that gives work to an upstream which is leaving, because one frame,
// whichever it was, was lost. Every instance must know within 2 s.
func TestLostLeaveOfUpstream(t *testing.T) {
	for lost := range 12 {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			is := is.New(t)
			s := newGrantCluster(grantContract(50, 100, 50), "a", "b", "c")
			s.run(time.Second)
			announced := make(chan error, 2)
			a := wire.Announcement{ID: "u", Service: "s", Address: "10.0.0.1:80", Zone: "z", Incarnation: 1, Sequence: 1, TTLMs: 60_000, Capacity: 1}
			s.step("b", UpstreamAnnounced{Announcement: a, Reply: announced})
			s.run(1500 * time.Millisecond)
			n := 0
			s.isLost = func(_ string, o Outbound) bool {
				if o.Frame.Upstreams != nil || o.Frame.Digest != nil {
					n++
				}
				return n == lost+1
			}
			s.step("b", UpstreamLeft{ID: "u", Incarnation: 1, Sequence: 2, Reply: announced})
			s.run(2 * time.Second)
			for _, c := range s.cores {
				row, ok := c.roster.View().Rows.Get("u")
				is.True(ok)
				is.True(row.Announcement.Leaving)
			}
		})
	}
}
