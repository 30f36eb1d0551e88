// Package consensus agrees on the order of log entries between replicas. It is Raft as published, with
// pre-vote, leader stickiness, check-quorum, snapshots, learners, membership changes of one voter at a
// time and leader transfer.
//
// A Node does no I/O and reads no clock. Its owner feeds it messages and the time, and takes from Ready
// what to persist, send and apply. Persisting is asynchronous: the owner reports a finished batch with
// Persisted, and only then does the node release the messages that promise the batch to be durable, its
// own vote and its own share in a commit included.
package consensus
