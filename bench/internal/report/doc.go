// Package report shows a run as one HTML page with plots, and several runs side by side as text.
package report
