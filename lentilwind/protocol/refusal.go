package protocol

import "fmt"

// Code says why a request between processes was refused.
type Code string

// The codes of refusals.
const (
	// CodeNotLeader means that another control process leads; Leader may tell its address.
	CodeNotLeader Code = "notLeader"
	// CodeUnavailable means that the request was not run and may be sent again.
	CodeUnavailable Code = "unavailable"
	// CodeInvalid means that the request can never be run.
	CodeInvalid Code = "invalid"
	// CodeNotPermitted means that the peer's certificate does not allow the request.
	CodeNotPermitted Code = "notPermitted"
)

// Refusal is the reply to a request that was not run.
type Refusal struct {
	Code    Code   `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
	// Leader is the address of the control leader, as IP and port, where it is known.
	Leader string `cbor:"3,keyasint,omitempty"`
}

// Error formats the refusal.
func (r *Refusal) Error() string { return fmt.Sprintf("protocol: refused (%s): %s", r.Code, r.Message) }
