// Package client speaks the operators' HTTP interface of control and finds its leader.
package client
