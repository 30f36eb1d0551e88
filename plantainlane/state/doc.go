// Package state is the state machine of the control log: the replicated tables and the commands that change them.
// State.Apply is deterministic: replicas that apply the same commands in the same order hold the same tables.
package state
