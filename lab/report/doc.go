// Package report turns the results of experiments into pages with plots.
package report
