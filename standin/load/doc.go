// Package load sends open-loop load to plantainlane, or directly to its upstreams, and checks that each request gets
// the complete answer to its own input.
package load
