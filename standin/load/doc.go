// Package load puts open-loop load on plantainlane, or on its upstreams directly, and checks that
// each caller got its own whole answer.
package load
