// Package engine provides a fake model engine and a fake weight store for tests and experiments. The engine uses
// continuous batching, a prefix cache of limited size and priorities. It resumes and cancels streams, exports and
// imports KV caches, carries out orders, and publishes cache events with a configurable delay and loss. It reads
// the time from package time, so that tests can run it on a fake clock.
package engine
