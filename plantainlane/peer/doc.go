// Package peer holds the connections between instances: WebSocket with CBOR frames, application
// heartbeats both ways, bounded queues and write deadlines.
package peer
