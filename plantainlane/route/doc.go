// Package route chooses the upstream that runs an attempt. An attempt is one call to one upstream.
//
// One goroutine passes announcements to a Balancer and calls Review every ReviewInterval. The goroutines that serve
// requests call Pick and Target.Done concurrently; these methods use atomic variables and no locks. The state that a
// Balancer keeps of an upstream (calls in flight, latency, failures, ejection) survives changes of the set of
// upstreams. It is dropped when the upstream announces a new incarnation or is removed.
package route
