package caller

import (
	"sync"

	"lentilwind.dev/entry/internal/relay"
)

// maxPooledBytes is the capacity up to which a buffer is kept for reuse.
const maxPooledBytes = 256 << 10

// buffers holds the memory of one running request, reused through a pool.
type buffers struct {
	batch   []byte
	answer  []byte
	request relay.Request

	admitted    admittedTx
	target      target
	exchange    exchange
	waitContext lazyDeadline
}

var pooledBuffers = sync.Pool{New: func() any { return &buffers{} }}

func getBuffers() *buffers { return pooledBuffers.Get().(*buffers) }

func (b *buffers) release() {
	b.batch = truncate(b.batch)
	b.answer = truncate(b.answer)
	b.request.Data = truncate(b.request.Data)
	b.request.Reset()
	view := b.admitted.view.Members[:0]
	b.admitted, b.target, b.exchange = admittedTx{}, target{}, exchange{}
	b.admitted.view.Members = view
	pooledBuffers.Put(b)
}

func truncate(buf []byte) []byte {
	if cap(buf) > maxPooledBytes {
		return nil
	}
	return buf[:0]
}
