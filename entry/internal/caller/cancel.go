package caller

import (
	"crypto/rand"

	"github.com/jackc/pgx/v5/pgproto3"
)

const secretBytes = 4

// backendKey is what a cancel request must show.
type backendKey struct {
	id     uint32
	secret [secretBytes]byte
}

func newBackendKey(id uint32) backendKey {
	key := backendKey{id: id}
	_, _ = rand.Read(key.secret[:])
	return key
}

// cancelOther cancels the statement of the session that the packet names; it says nothing either way.
func (c *caller) cancelOther(packet []byte) {
	var request pgproto3.CancelRequest
	if err := request.Decode(packet); err != nil || len(request.SecretKey) != secretBytes {
		return
	}
	key := backendKey{id: request.ProcessID, secret: [secretBytes]byte(request.SecretKey)}
	if other := c.server.find(key); other != nil && other.cancelRunning() {
		c.server.Counters.Cancels.Add(1)
	}
}
