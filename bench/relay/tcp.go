package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	copyBufferBytes   = 32 << 10
	faultPollInterval = 5 * time.Millisecond
	chunkQueueLength  = 256
)

// TCP is a proxy that forwards connections to one target.
type TCP struct {
	network  *Network
	listener net.Listener
	target   netip.AddrPort
	refusing atomic.Bool
	// ctx ends when the relay closes.
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	pairs map[*connPair]struct{}
	wg    sync.WaitGroup
}

// connPair is a forwarded connection: the client's side and the target's side.
type connPair struct {
	client, server net.Conn
	// blackholed makes the relay drop all further bytes while the connection stays open.
	blackholed atomic.Bool
}

// ListenTCP starts a relay that forwards connections from listen to target.
func ListenTCP(network *Network, listen, target netip.AddrPort) (*TCP, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &TCP{network: network, listener: listener, target: target, pairs: make(map[*connPair]struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// BlackholeConnections permanently drops all bytes on open connections without closing them; new connections work.
func (r *TCP) BlackholeConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.blackholed.Store(true)
	}
}

// CloseConnections closes the open connections; new connections work.
func (r *TCP) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.close()
	}
}

// Refuse makes the relay close new connections immediately, or accept them again.
func (r *TCP) Refuse(refuse bool) { r.refusing.Store(refuse) }

// Close stops the relay, closes its connections and waits for its goroutines.
func (r *TCP) Close() error {
	err := r.listener.Close()
	r.cancel()
	r.CloseConnections()
	r.wg.Wait()
	return err
}

func (p *connPair) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

func (r *TCP) accept() {
	defer r.wg.Done()
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go r.serve(client)
	}
}

func (r *TCP) serve(client net.Conn) {
	defer r.wg.Done()
	source := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	if r.refusing.Load() || !r.waitWhilePartitioned(source) {
		_ = client.Close()
		return
	}
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))}
	server, err := dialer.DialContext(r.ctx, "tcp", r.target.String())
	if err != nil {
		_ = client.Close()
		return
	}
	p := &connPair{client: client, server: server}
	if !r.track(p) {
		p.close()
		return
	}
	var forwarders sync.WaitGroup
	forwarders.Add(2)
	go r.forward(&forwarders, p, source, server, client)
	go r.forward(&forwarders, p, source, client, server)
	forwarders.Wait()
	p.close()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// track registers a connection unless the relay is closing.
func (r *TCP) track(p *connPair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return false
	}
	r.pairs[p] = struct{}{}
	return true
}

// maxPartitionWait is how long a new connection across a partition is held before it is closed.
const maxPartitionWait = 10 * time.Second

// waitWhilePartitioned holds a new connection while its zones are partitioned and reports whether the partition has healed.
func (r *TCP) waitWhilePartitioned(source netip.Addr) bool {
	for deadline := time.Now().Add(maxPartitionWait); time.Now().Before(deadline) && r.ctx.Err() == nil; time.Sleep(faultPollInterval) {
		if !r.network.faultBetween(source, r.target.Addr()).Partitioned {
			return true
		}
	}
	return false
}

// chunk is data in transit with its delivery time.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// forward forwards bytes in one direction. Across a partition they are held back rather than dropped, because TCP would
// retransmit them.
func (r *TCP) forward(forwarders *sync.WaitGroup, p *connPair, source netip.Addr, to, from net.Conn) {
	defer forwarders.Done()
	queue := make(chan chunk, chunkQueueLength)
	forwarders.Add(1)
	go r.deliver(forwarders, p, source, to, queue)
	defer close(queue)
	for {
		buf := make([]byte, copyBufferBytes)
		n, err := from.Read(buf)
		if n > 0 {
			queue <- chunk{data: buf[:n], deliverAt: time.Now().Add(r.network.faultBetween(source, r.target.Addr()).Delay)}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes queued chunks when they are due and no partition holds them back.
func (r *TCP) deliver(forwarders *sync.WaitGroup, p *connPair, source netip.Addr, to net.Conn, queue <-chan chunk) {
	defer forwarders.Done()
	open := true
	for c := range queue {
		time.Sleep(time.Until(c.deliverAt))
		for open && r.network.faultBetween(source, r.target.Addr()).Partitioned && !r.isClosed(p) {
			time.Sleep(faultPollInterval)
		}
		if !open || p.blackholed.Load() {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			open = false
			p.close()
		}
	}
	if !p.blackholed.Load() {
		closeWrite(to)
	}
}

// isClosed reports whether the client's side of the pair has been closed by the relay.
func (*TCP) isClosed(p *connPair) bool {
	_, err := p.client.Write(nil)
	return err != nil
}

func closeWrite(conn net.Conn) {
	if halfCloser, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
		return
	}
	_ = conn.Close()
}

var _ io.Closer = (*TCP)(nil)
