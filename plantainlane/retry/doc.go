// Package retry decides whether and when an attempt is repeated or hedged, and how one deadline is split over
// stages.
//
// A Service holds what is known of one service. Its methods may be called from any goroutine, but for Review.
package retry
