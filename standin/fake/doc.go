// Package fake holds fake upstreams: pooled stages, streaming stages and plain services. They serve
// the upstream side of the HTTP interface, count what they ran in a ledger and misbehave on order.
package fake
