// Package peer carries calls and messages between processes over plain TCP, for networks whose settings hand out no identities.
package peer
