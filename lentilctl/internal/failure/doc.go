// Package failure maps errors to the exit codes that scripts rely on.
package failure
