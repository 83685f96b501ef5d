package command

import (
	"crypto/rand"

	"lentilwind.dev/lentilwind/protocol"
)

// operationIDOrNew returns the given operation ID, or a random one if it is empty.
func operationIDOrNew(given string) protocol.OperationID {
	if given != "" {
		return protocol.OperationID(given)
	}
	return protocol.OperationID(rand.Text())
}
