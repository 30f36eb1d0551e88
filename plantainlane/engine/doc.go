// Package engine supports requests to model engines: it knows which engines hold a prefix of a prompt in their prefix
// caches, decides how an interrupted stream continues, and calls engines to cancel or export an attempt. The goroutines
// that serve requests use its types. No type shares a lock with the control goroutine.
package engine
