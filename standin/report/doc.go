// Package report computes the report of a run from the outcomes that callers saw, the executions that fakes counted and
// the cost that the system charged, and writes it as text and as a plot.
package report
