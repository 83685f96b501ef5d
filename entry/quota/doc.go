// Package quota admits requests at an entry out of grants of the control leader.
package quota
