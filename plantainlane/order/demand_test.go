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
	// run calls Step each second for period, with n engines that have a capacity of 10 and the given load each. It
	// returns the last number of replicas for the model, 0 if that is the declared one.
	run := func(period time.Duration, n, load int) int {
		var list []wire.Announcement
		for i := range n {
			list = append(list, wire.Announcement{
				ID: fmt.Sprint(i), Models: []string{"a@1", "a@2"}, Capacity: 10, Load: wire.UpstreamLoad{InFlight: load},
			})
		}
		target := 0
		for end := now.Add(period); now.Before(end); now = now.Add(time.Second) {
			target = d.Step(now, models, pointers(list))["a"]
		}
		return target
	}
	is.Equal(run(time.Minute, 2, 7), 0)
	is.Equal(run(5*time.Second, 2, 9), 0) // a peak shorter than raiseAfter
	is.Equal(run(time.Minute, 2, 7), 0)
	is.Equal(run(time.Minute, 2, 9), 3)     // one replica more; a further one only after 3 engines serve
	is.Equal(run(time.Minute, 3, 9), 4)     // twice the declared replicas
	is.Equal(run(time.Minute, 4, 10), 4)    // twice the declared replicas is the limit
	is.Equal(run(10*time.Minute, 4, 4), 4)  // the load would be 0.53 of the capacity with one replica less
	is.Equal(run(90*time.Second, 4, 1), 4)  // shorter than lowerAfter
	is.Equal(run(45*time.Second, 4, 1), 3)  // lowerAfter, two minutes, is over
	is.Equal(run(150*time.Second, 3, 1), 0) // back to the declared replicas
	is.Equal(run(10*time.Minute, 2, 0), 0)  // never below the declared replicas
	is.Equal(len(d.Step(now, nil, pointers(nil))), 0)
	is.Equal(len(d.models), 0) // the state of a removed model is dropped
}
