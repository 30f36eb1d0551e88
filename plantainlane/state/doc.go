// Package state holds the tables that the control log replicates and the commands that change them.
// Apply is deterministic: replicas that apply the same commands in the same order hold the same tables.
package state
