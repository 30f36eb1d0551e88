// Package speed measures calls through one instance beside direct calls to the same upstream.
package speed
