package instance

import "plantainlane/plantainlane/quarantine"

// isReplaced reports whether a process is known to have ended because its upstream has announced a newer incarnation, or
// another upstream announces its address.
func (x *Instance) isReplaced(p quarantine.Process) bool {
	rows := x.View().Upstreams.Rows
	own, ok := rows.Get(p.Upstream)
	if ok && own.Announcement.Incarnation > p.Incarnation {
		return true
	}
	for id, row := range rows.All() {
		if id != p.Upstream && row.Announcement.Address == p.Address && row.Usable() && ok && row.Until.After(own.Until) {
			return true
		}
	}
	return false
}
