// Package link transports protocol frames between processes over QUIC with mutual TLS.
package link
