// Package order decides which orders model engines get so that the declared models, versions and adapters are
// served. The control leader calls Planner.Step; a Sender sends the resulting orders and reports the answers.
// An engine's answer to an order isn't proof that the order took effect: the planner relies only on the state that
// it reads from the engine afterwards.
package order
