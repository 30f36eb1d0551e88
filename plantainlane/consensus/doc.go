// Package consensus implements the Raft consensus algorithm, which replicates a log in the same order to
// all replicas. It includes pre-vote, leader stickiness (voters that have a live leader ignore vote
// requests), check quorum, snapshots, learners, membership changes of one voter at a time, and leader
// transfer. A change of the voters takes two entries: after the first, a majority of the voters before or
// of those after it is a quorum; the second ends the change.
//
// A Node does no I/O and reads no clock. Its owner passes messages and the current time to it, and gets
// from Ready what to persist, send and apply. Persisting is asynchronous: the owner reports a durable batch
// with Persisted. Messages that depend on the durability of a batch are sent only after that. This includes
// the node's vote for itself and a leader's acknowledgement of its own entries.
package consensus
