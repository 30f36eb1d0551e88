// Package peer keeps the connections between instances. They are WebSocket connections that carry CBOR frames, with
// heartbeats in both directions, bounded queues and write deadlines.
package peer
