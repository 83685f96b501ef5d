package protocol

import "fmt"

// Code is the reason why a request between processes was refused.
type Code string

// Codes of refusals.
const (
	// CodeNotLeader means that another control process leads; Refusal.Leader may contain its address.
	CodeNotLeader Code = "notLeader"
	// CodeUnavailable means that the request was not run and may be retried.
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
	// Leader is the address of the control leader, as IP and port, if known.
	Leader string `cbor:"3,keyasint,omitempty"`
}

// Error implements the error interface.
func (r *Refusal) Error() string { return fmt.Sprintf("protocol: refused (%s): %s", r.Code, r.Message) }
