// Package order decides which orders model engines get, so that declared models, adapters and versions come to
// be served and stay served. A Planner is stepped by the control leader; a Sender carries its orders out and
// reports back. What an engine answers to an order proves nothing: only its state read back does.
package order
