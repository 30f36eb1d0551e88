// Package control owns the control state of an instance. One goroutine holds the state as tables and runs a
// fixed sequence of systems over the tables on each tick: replication, leases, configuration, instances,
// upstreams, grants and others. Its input is typed messages; its output is frames for other instances and an
// immutable View for the goroutines that serve traffic.
package control
