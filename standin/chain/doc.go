// Package chain derives the output of a fake stage from its input. A caller that knows its input and the stages of the
// pipeline can compute the expected answer, and so detect an incomplete answer or the answer of another request.
package chain
