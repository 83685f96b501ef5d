// Package link carries the protocol's frames between processes over QUIC with mutual TLS.
package link
