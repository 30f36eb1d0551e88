// Package speed measures the rate, latency, streams and memory of calls through one instance, in comparison with direct
// calls to the same upstreams.
package speed
