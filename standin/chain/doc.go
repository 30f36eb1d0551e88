// Package chain derives the output of a fake stage from its input, so that a caller who knows its
// own input and the stages can tell whether an answer is whole and its own.
package chain
