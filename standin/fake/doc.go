// Package fake provides fake upstreams for tests and experiments: pooled stages, streaming stages and plain services.
// A fake serves the upstream side of the HTTP interface, records its executions in a ledger, and simulates faults that
// are ordered over HTTP.
package fake
