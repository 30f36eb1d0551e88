package order

import (
	"iter"
	"slices"
	"time"

	"plantainlane/wire"
)

const (
	// A model gets one more replica if the load of its engines is above busyFraction of their capacity for raiseAfter.
	busyFraction = 0.8
	raiseAfter   = 10 * time.Second
	// A model loses an extra replica if the load of its engines is below idleFraction of the capacity that would
	// remain without that replica, for lowerAfter.
	idleFraction = 0.5
	lowerAfter   = 2 * time.Minute
)

// Demand follows the load of models and raises the number of replicas while the load is high, up to twice the
// declared number. It lowers the number slowly, since each later load of the model uses up part of the weight
// store's rate.
type Demand struct {
	models map[string]*modelDemand
}

// modelDemand is the demand state of one model.
type modelDemand struct {
	// extra is the number of replicas above the declared ones.
	extra int
	// busySince is since when the load has been above busyFraction, starting over after each raise; idleSince
	// since when it has been below idleFraction, starting over after each lowering. Each is zero while its condition
	// doesn't hold.
	busySince, idleSince time.Time
}

// modelUsage sums up the engines that serve a model at any version. load is their calls in flight and queued,
// capacity the calls that they can run concurrently.
type modelUsage struct {
	engines  int
	load     int
	capacity int
}

// Step updates the demand from the latest announcements and returns the number of replicas of each model that
// needs more than declared, by model name. It drops the state of models that are no longer declared.
func (d *Demand) Step(now time.Time, models []wire.Model, engines iter.Seq[*wire.Announcement]) map[string]int {
	if d.models == nil {
		d.models = make(map[string]*modelDemand)
	}
	usage := usageByModel(engines)
	targets := make(map[string]int)
	for _, m := range models {
		state := d.models[m.Name]
		if state == nil {
			state = &modelDemand{}
			d.models[m.Name] = state
		}
		state.update(now, m.Replicas, usage[m.Name])
		if state.extra > 0 {
			targets[m.Name] = m.Replicas + state.extra
		}
	}
	for name := range d.models {
		if !slices.ContainsFunc(models, func(m wire.Model) bool { return m.Name == name }) {
			delete(d.models, name)
		}
	}
	return targets
}

// usageByModel returns the usage of each model by its name, over all versions. It expects the versions of a model to be
// adjacent in an announcement.
func usageByModel(engines iter.Seq[*wire.Announcement]) map[string]modelUsage {
	usage := make(map[string]modelUsage)
	for e := range engines {
		last := ""
		for _, key := range e.Models {
			name := modelName(key)
			if name == last {
				continue // another version of the previous model: the engine counts once
			}
			last = name
			u := usage[name]
			u.engines++
			u.load += e.Load.InFlight + e.Load.Queued
			u.capacity += e.Capacity
			usage[name] = u
		}
	}
	return usage
}

// update raises extra by one after raiseAfter of high load, once all earlier extra replicas serve, and lowers it by
// one after lowerAfter of low load.
func (d *modelDemand) update(now time.Time, replicas int, u modelUsage) {
	d.extra = min(d.extra, replicas)
	capacity := float64(max(u.capacity, 1))
	busy := u.engines > 0 && float64(u.load) > busyFraction*capacity
	withOneLess := capacity * float64(u.engines-1) / float64(max(u.engines, 1))
	idle := d.extra > 0 && float64(u.load) < idleFraction*withOneLess
	d.busySince = conditionSince(d.busySince, now, busy)
	d.idleSince = conditionSince(d.idleSince, now, idle)
	switch {
	case busy && now.Sub(d.busySince) >= raiseAfter && d.extra < replicas && u.engines >= replicas+d.extra:
		d.extra++
		d.busySince = time.Time{}
	case idle && now.Sub(d.idleSince) >= lowerAfter:
		d.extra--
		d.idleSince = time.Time{}
	}
}

// conditionSince returns since when a condition has held without interruption, given the previous result: zero if
// it doesn't hold now.
func conditionSince(started, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case started.IsZero():
		return now
	}
	return started
}
