package instance

import (
	"net"

	"plantainlane/plantainlane/batch"
	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/placement"
	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// memberList holds the instances that may own queues of pieces, as of a table of instances and a leader. It is derived again
// only when one of them changes, since it is asked for with each job.
type memberList struct {
	instances table.Table[wire.InstanceInfo]
	leader    string
	// others holds the members besides this instance, whether or not they can be reached, and self this one.
	others []batch.Member
	self   batch.Member
}

// membersOf returns the members of a view.
func (x *Instance) membersOf(v *control.View) *memberList {
	if l := x.memberList.Load(); l != nil && l.instances == v.Instances && l.leader == v.Leader {
		return l
	}
	l := newMemberList(v.Instances, v.Leader, x.self)
	x.memberList.Store(l)
	return l
}

func newMemberList(instances table.Table[wire.InstanceInfo], leader string, self wire.InstanceInfo) *memberList {
	l := &memberList{instances: instances, leader: leader}
	withControl := make(map[string]bool)
	leaderMachine := ""
	for id, i := range instances.All() {
		if i.ControlOnly || i.HasData {
			withControl[machineOf(i)] = true
		}
		if id == leader {
			leaderMachine = machineOf(i)
		}
	}
	member := func(i wire.InstanceInfo) batch.Member {
		machine := machineOf(i)
		return batch.Member{
			ID: i.ID, Zone: i.Zone, Cores: i.Cores, Capacity: i.Capacity, Owns: i.Owns,
			BesideLeader: machine != "" && machine == leaderMachine, BesideControl: withControl[machine],
		}
	}
	for id, i := range instances.All() {
		if !i.ControlOnly && !i.Silent && !i.Draining && id != self.ID {
			l.others = append(l.others, member(i))
		}
	}
	l.self = member(self)
	return l
}

// machineOf returns the host of an instance's peer address; empty if not known.
func machineOf(i wire.InstanceInfo) string {
	host, _, err := net.SplitHostPort(i.PeerAddress)
	if err != nil {
		return ""
	}
	return host
}

// requestShare returns the fraction of all callers' requests that this instance probably handles: that of its capacity among
// the instances for callers that are neither silent nor draining.
func (x *Instance) requestShare() float64 {
	v := x.View()
	capacities := []float64{v.Self.Capacity}
	for id, i := range v.Instances.All() {
		if id != v.Self.ID && !i.ControlOnly && !i.Silent && !i.Draining {
			capacities = append(capacities, i.Capacity)
		}
	}
	return placement.Relative(capacities)[0] / float64(len(capacities))
}
