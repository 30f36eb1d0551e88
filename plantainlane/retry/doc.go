// Package retry decides whether and when an attempt is retried or hedged, and how the deadline of a request is divided
// among its stages.
//
// A Service holds the retry budget, the latencies and the policy of one service. Its methods are safe for concurrent
// use, except that only one goroutine may call Review.
package retry
