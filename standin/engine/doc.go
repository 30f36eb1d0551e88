// Package engine is a fake model engine and a fake weight store. The engine batches continuously, caches
// prompt prefixes in limited memory, honours priorities, resumes and cancels streams, exports and imports KV
// cache, publishes cache events late and with gaps, and takes orders. Its times follow the runtime's clock.
package engine
