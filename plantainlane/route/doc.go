// Package route chooses the upstream that runs an attempt.
//
// One goroutine feeds a Balancer with announcements and calls Review every ReviewEvery. Traffic goroutines
// call Pick and Target.Done concurrently; both use atomics alone. What a Balancer has learned of an upstream
// (calls in flight, latency, failures, ejection) survives changes of the set of upstreams, and ends with the
// upstream's incarnation.
package route
