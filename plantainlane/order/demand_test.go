package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

func TestDemandRaisesAndLowersReplicas(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	models := []wire.Model{model("a", "1", 2)}
	var d Demand
	// run steps with n engines of capacity 10 under a load each, and returns what is wanted in the end.
	run := func(period time.Duration, n, load int) int {
		var list []wire.Announcement
		for i := range n {
			list = append(list, wire.Announcement{
				ID: fmt.Sprint(i), Models: []string{"a@1", "a@2"}, Capacity: 10, Load: wire.UpstreamLoad{InFlight: load},
			})
		}
		wanted := 0
		for end := now.Add(period); now.Before(end); now = now.Add(time.Second) {
			wanted = d.Step(now, models, pointers(list))["a"]
		}
		return wanted
	}
	is.Equal(run(time.Minute, 2, 7), 0)
	is.Equal(run(5*time.Second, 2, 9), 0) // a short peak
	is.Equal(run(time.Minute, 2, 7), 0)
	is.Equal(run(time.Minute, 2, 9), 3)     // one more, and no further one before it serves
	is.Equal(run(time.Minute, 3, 9), 4)     // twice the declared ones
	is.Equal(run(time.Minute, 4, 10), 4)    // and no more
	is.Equal(run(10*time.Minute, 4, 4), 4)  // would be at 0.53 with one less
	is.Equal(run(90*time.Second, 4, 1), 4)  // slow to lower
	is.Equal(run(45*time.Second, 4, 1), 3)  // after two minutes
	is.Equal(run(150*time.Second, 3, 1), 0) // as declared
	is.Equal(run(10*time.Minute, 2, 0), 0)  // never below
	is.Equal(len(d.Step(now, nil, pointers(nil))), 0)
	is.Equal(len(d.models), 0) // a removed model is forgotten
}
