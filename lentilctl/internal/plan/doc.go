// Package plan reads a fleet plan and writes the files with which its processes and operators start.
package plan
