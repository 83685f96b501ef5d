package caller

import (
	"crypto/rand"

	"github.com/jackc/pgx/v5/pgproto3"
)

const secretBytes = 4

// backendKey identifies a connection in cancel requests.
type backendKey struct {
	id     uint32
	secret [secretBytes]byte
}

func newBackendKey(id uint32) backendKey {
	key := backendKey{id: id}
	_, _ = rand.Read(key.secret[:])
	return key
}

// handleCancelRequest cancels the statement of the connection that the packet identifies. As the protocol requires, it sends no answer.
func (c *callerConn) handleCancelRequest(packet []byte) {
	var request pgproto3.CancelRequest
	if err := request.Decode(packet); err != nil || len(request.SecretKey) != secretBytes {
		return
	}
	key := backendKey{id: request.ProcessID, secret: [secretBytes]byte(request.SecretKey)}
	if other := c.server.lookup(key); other != nil && other.cancelRunning() {
		c.server.Counters.Cancels.Add(1)
	}
}
