// Package report turns the outcomes of a run and the ledgers of fakes into figures, text and a plot.
package report
