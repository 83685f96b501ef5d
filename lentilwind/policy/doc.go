// Package policy holds the accepted configuration in the form that the request path uses.
package policy
