// Package report renders the results of experiments as HTML pages with plots.
package report
