// Package promptcache weighs, for each prompt, the reading that an upstream saves which probably still caches the
// beginning of the prompt against the longer wait there. Both are times. The package does no I/O and receives the time.
//
// An Estimator holds what is known of the prefix caches of the engines of each service: what this instance sent, which is
// certain, and what the other instances probably sent, since all place prompts by the same rendezvous hashing.
package promptcache
