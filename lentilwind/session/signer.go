package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"

	"lentilwind.dev/lentilwind/inventory"
)

// ParameterName is the PostgreSQL parameter that carries the token.
const ParameterName = "lentilwind.session"

// Limits of tokens and secrets, in bytes.
const (
	MaxTokenBytes  = 2048
	MinSecretBytes = 16
)

// macBytes is the length of the truncated HMAC-SHA256 in a token.
const macBytes = 16

// domainSeparator distinguishes these signatures from any other use of the secrets.
const domainSeparator = "lentilwind session 1\x00"

// ErrToken is wrapped by every error about a token that is malformed or was not signed for the workspace with a known secret.
var ErrToken = errors.New("session: invalid token")

var encoding = base64.RawURLEncoding.Strict()

// maxPayloadBytes is the size of the payload that fits into a token together with the signature.
var maxPayloadBytes = encoding.DecodedLen(MaxTokenBytes) - macBytes

// Signer signs and verifies tokens.
type Signer struct {
	secrets [][]byte
}

// NewSigner returns a signer that signs with the first secret and verifies with any of them.
func NewSigner(secrets ...[]byte) (*Signer, error) {
	if len(secrets) == 0 {
		return nil, errors.New("session: no secret")
	}
	for i, secret := range secrets {
		if len(secret) < MinSecretBytes {
			return nil, fmt.Errorf("session: secret %d has %d bytes, the least is %d", i, len(secret), MinSecretBytes)
		}
	}
	return &Signer{secrets: secrets}, nil
}

// Sign returns the token of a state; floors that do not fit are left out and the token is marked partial.
func (s *Signer) Sign(state State) string {
	payload := encodeState(state, maxPayloadBytes)
	sum := mac(s.secrets[0], state.Workspace, payload)
	return encoding.EncodeToString(append(payload, sum[:macBytes]...))
}

// Verify returns the state of a token that was signed for the workspace.
func (s *Signer) Verify(token string, workspace inventory.WorkspaceName) (State, error) {
	if len(token) > MaxTokenBytes {
		return State{}, fmt.Errorf("%w: %d bytes", ErrToken, len(token))
	}
	data, err := encoding.DecodeString(token)
	if err != nil || len(data) < macBytes {
		return State{}, fmt.Errorf("%w: malformed", ErrToken)
	}
	payload, sum := data[:len(data)-macBytes], data[len(data)-macBytes:]
	if !s.validMAC(workspace, payload, sum) {
		return State{}, fmt.Errorf("%w: not signed for the workspace", ErrToken)
	}
	state, err := decodeState(payload)
	if err != nil {
		return State{}, err
	}
	state.Workspace = workspace
	return state, nil
}

// validMAC reports whether sum is the truncated MAC of the payload under any of the secrets.
func (s *Signer) validMAC(workspace inventory.WorkspaceName, payload, sum []byte) bool {
	for _, secret := range s.secrets {
		want := mac(secret, workspace, payload)
		if hmac.Equal(want[:macBytes], sum) {
			return true
		}
	}
	return false
}

// mac returns the HMAC of the workspace, prefixed with its length, and the payload.
func mac(secret []byte, workspace inventory.WorkspaceName, payload []byte) []byte {
	h := hmac.New(sha256.New, secret)
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(workspace)))
	h.Write([]byte(domainSeparator))
	h.Write(length[:])
	h.Write([]byte(workspace))
	h.Write(payload)
	return h.Sum(nil)
}
