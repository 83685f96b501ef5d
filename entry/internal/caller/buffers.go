package caller

import (
	"sync"

	"lentilwind.dev/entry/internal/relay"
)

// maxPooledBytes bounds a buffer that is kept for the next request.
const maxPooledBytes = 256 << 10

// buffers is the memory of one running request.
type buffers struct {
	batch   []byte
	answer  []byte
	request relay.Request

	ticket   ticket
	target   target
	exchange exchange
	patience patience
}

var pooledBuffers = sync.Pool{New: func() any { return &buffers{} }}

func takeBuffers() *buffers { return pooledBuffers.Get().(*buffers) }

func (b *buffers) put() {
	b.batch = keep(b.batch)
	b.answer = keep(b.answer)
	b.request.Data = keep(b.request.Data)
	b.request.Reset()
	view := b.ticket.view.Members[:0]
	b.ticket, b.target, b.exchange = ticket{}, target{}, exchange{}
	b.ticket.view.Members = view
	pooledBuffers.Put(b)
}

func keep(buf []byte) []byte {
	if cap(buf) > maxPooledBytes {
		return nil
	}
	return buf[:0]
}
