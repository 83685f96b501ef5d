// Package plan reads a fleet plan and creates the certificates and settings files of its processes and operators.
package plan
