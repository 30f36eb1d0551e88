// Package engine decides how model engines are used: which engines hold a prompt's prefix, and how a broken
// stream goes on. Its types are for traffic goroutines; none shares a lock with the control goroutine.
package engine
