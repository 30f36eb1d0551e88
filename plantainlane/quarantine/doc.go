// Package quarantine finds content whose requests end the processes of upstreams, and refuses such requests.
//
// Each instance has a Guard. It reports to the leader which sends broke because the upstream's process ended, and which
// suspect parts of content were answered whole. The leader's Detector derives from the reports of all instances which parts
// are to blame, and the control log keeps them as entries. All guards learn the entries and refuse requests that match one.
//
// Only the content of a request is ever to blame, never its caller, its route, or what all requests of a route have in
// common: a part is to blame only if upstream after upstream ended under it and no request with it was answered whole
// meanwhile.
package quarantine
