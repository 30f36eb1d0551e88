// Package fake provides fake upstreams for tests and experiments. A fake serves the upstream side of the HTTP
// interface: it answers calls with JSON, or with a stream of tokens at the paths that its profile lists. It records its
// executions in a ledger, and simulates faults that are ordered over HTTP.
package fake
