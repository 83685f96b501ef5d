// Package report renders a run as an HTML page with plots, and compares sets of runs as text.
package report
