package command

import (
	"crypto/rand"

	"lentilwind.dev/lentilwind/protocol"
)

// operationOrNew returns the given operation id or a random one.
func operationOrNew(given string) protocol.OperationID {
	if given != "" {
		return protocol.OperationID(given)
	}
	return protocol.OperationID(rand.Text())
}
