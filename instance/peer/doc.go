// Package peer transports calls and messages between processes over plain TCP, for networks whose settings provide no certificates.
package peer
