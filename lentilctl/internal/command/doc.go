// Package command has the commands of lentilctl, one file for each.
package command
