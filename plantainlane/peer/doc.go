// Package peer keeps the WebSocket connections between instances. Both ends send CBOR frames and heartbeats, with
// bounded queues and write deadlines.
package peer
