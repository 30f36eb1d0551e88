package order

import (
	"iter"
	"slices"
	"time"

	"plantainlane/wire"
)

const (
	// busyShare of its engines' capacity in use for raiseAfter gives a model one replica more.
	busyShare  = 0.8
	raiseAfter = 10 * time.Second
	// idleShare is the use, as it would be with one replica less, that for lowerAfter takes one away again.
	idleShare  = 0.5
	lowerAfter = 2 * time.Minute
)

// Demand follows the load of models and asks for more replicas than declared while it is high, up to twice as
// many. It is slow to lower them, since each load takes from the weight store.
type Demand struct {
	models map[string]*modelDemand
}

// modelDemand is one model's.
type modelDemand struct {
	// extra replicas over the declared ones.
	extra int
	// busySince and idleSince are when the use passed its bound; zero while it has not.
	busySince, idleSince time.Time
}

// modelUse is the use of the engines that serve a model.
type modelUse struct {
	engines  int
	load     int
	capacity int
}

// Step takes in the newest announcements and returns the engines that each model is to have, where that is more
// than declared.
func (d *Demand) Step(now time.Time, models []wire.Model, engines iter.Seq[*wire.Announcement]) map[string]int {
	if d.models == nil {
		d.models = make(map[string]*modelDemand)
	}
	uses := usesOf(engines)
	wanted := make(map[string]int)
	for _, m := range models {
		state := d.models[m.Name]
		if state == nil {
			state = &modelDemand{}
			d.models[m.Name] = state
		}
		state.step(now, m.Replicas, uses[m.Name])
		if state.extra > 0 {
			wanted[m.Name] = m.Replicas + state.extra
		}
	}
	for name := range d.models {
		if !slices.ContainsFunc(models, func(m wire.Model) bool { return m.Name == name }) {
			delete(d.models, name)
		}
	}
	return wanted
}

func usesOf(engines iter.Seq[*wire.Announcement]) map[string]modelUse {
	uses := make(map[string]modelUse)
	for e := range engines {
		last := ""
		for _, key := range e.Models {
			name := nameOf(key)
			if name == last {
				continue // another version of the model before
			}
			last = name
			u := uses[name]
			u.engines++
			u.load += e.Load.InFlight + e.Load.Queued
			u.capacity += e.Capacity
			uses[name] = u
		}
	}
	return uses
}

func (d *modelDemand) step(now time.Time, replicas int, u modelUse) {
	d.extra = min(d.extra, replicas)
	capacity := float64(max(u.capacity, 1))
	busy := u.engines > 0 && float64(u.load) > busyShare*capacity
	withOneLess := capacity * float64(u.engines-1) / float64(max(u.engines, 1))
	idle := d.extra > 0 && float64(u.load) < idleShare*withOneLess
	d.busySince = since(d.busySince, now, busy)
	d.idleSince = since(d.idleSince, now, idle)
	switch {
	case busy && now.Sub(d.busySince) >= raiseAfter && d.extra < replicas && u.engines >= replicas+d.extra:
		d.extra++
		d.busySince = time.Time{}
	case idle && now.Sub(d.idleSince) >= lowerAfter:
		d.extra--
		d.idleSince = time.Time{}
	}
}

// since returns when a condition that holds now began to.
func since(began, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case began.IsZero():
		return now
	}
	return began
}
