// Package engine decides how model engines are used: which engines hold the beginning of a prompt in their prefix
// caches, and how an interrupted stream continues. Its types are used by the goroutines that serve requests; none
// shares a lock with the control goroutine.
package engine
