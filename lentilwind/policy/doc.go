// Package policy has the accepted configuration in the form that the request path reads.
package policy
