// Package command implements the commands of lentilctl.
package command
