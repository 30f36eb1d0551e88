// Package control owns an instance's control state. One goroutine holds it as tables and runs systems over
// them each tick: replication, leases, configuration, instances, upstreams, grants. Input is typed
// messages; output is frames for other instances and an immutable View for traffic goroutines.
package control
