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
	copyBufferBytes = 32 << 10
	faultPoll       = 5 * time.Millisecond
	queuedChunks    = 256
)

// TCP forwards connections to one target.
type TCP struct {
	network  *Network
	listener net.Listener
	target   netip.AddrPort
	refusing atomic.Bool
	// ctx ends when the relay closes.
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	pairs map[*pair]struct{}
	done  sync.WaitGroup
}

// pair is one forwarded connection.
type pair struct {
	client, server net.Conn
	// silent drops all bytes for good while the connection stays open.
	silent atomic.Bool
}

// ListenTCP starts to forward connections.
func ListenTCP(network *Network, listen, target netip.AddrPort) (*TCP, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &TCP{network: network, listener: listener, target: target, pairs: make(map[*pair]struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.done.Add(1)
	go r.accept()
	return r, nil
}

// BlackholeConnections makes the open connections silent for good; new ones work.
func (r *TCP) BlackholeConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silent.Store(true)
	}
}

// CloseConnections closes the open connections; new ones work.
func (r *TCP) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.close()
	}
}

// Refuse makes the relay close new connections at once, or accept them again.
func (r *TCP) Refuse(refuse bool) { r.refusing.Store(refuse) }

// Close ends the relay and its connections.
func (r *TCP) Close() error {
	err := r.listener.Close()
	r.cancel()
	r.CloseConnections()
	r.done.Wait()
	return err
}

func (p *pair) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

func (r *TCP) accept() {
	defer r.done.Done()
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.done.Add(1)
		go r.serve(client)
	}
}

func (r *TCP) serve(client net.Conn) {
	defer r.done.Done()
	source := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	if r.refusing.Load() || !r.waitUncut(source) {
		_ = client.Close()
		return
	}
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))}
	server, err := dialer.DialContext(r.ctx, "tcp", r.target.String())
	if err != nil {
		_ = client.Close()
		return
	}
	p := &pair{client: client, server: server}
	if !r.add(p) {
		p.close()
		return
	}
	var copies sync.WaitGroup
	copies.Add(2)
	go r.copy(&copies, p, source, server, client)
	go r.copy(&copies, p, source, client, server)
	copies.Wait()
	p.close()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// add makes a pair known unless the relay is closing.
func (r *TCP) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return false
	}
	r.pairs[p] = struct{}{}
	return true
}

// maxConnectWait is how long a connection attempt across a cut is held before it is closed.
const maxConnectWait = 10 * time.Second

// waitUncut holds a new connection while its zones are cut off from each other.
func (r *TCP) waitUncut(source netip.Addr) bool {
	for deadline := time.Now().Add(maxConnectWait); time.Now().Before(deadline) && r.ctx.Err() == nil; time.Sleep(faultPoll) {
		if !r.network.between(source, r.target.Addr()).Partitioned {
			return true
		}
	}
	return false
}

// chunk is bytes on their way with the time at which they arrive.
type chunk struct {
	data []byte
	due  time.Time
}

// copy moves bytes in one direction; across a cut they are held back, as a network that retransmits does.
func (r *TCP) copy(copies *sync.WaitGroup, p *pair, source netip.Addr, to, from net.Conn) {
	defer copies.Done()
	queue := make(chan chunk, queuedChunks)
	copies.Add(1)
	go r.deliver(copies, p, source, to, queue)
	defer close(queue)
	for {
		buf := make([]byte, copyBufferBytes)
		n, err := from.Read(buf)
		if n > 0 {
			queue <- chunk{data: buf[:n], due: time.Now().Add(r.network.between(source, r.target.Addr()).Delay)}
		}
		if err != nil {
			return
		}
	}
}

func (r *TCP) deliver(copies *sync.WaitGroup, p *pair, source netip.Addr, to net.Conn, queue <-chan chunk) {
	defer copies.Done()
	open := true
	for c := range queue {
		time.Sleep(time.Until(c.due))
		for open && r.network.between(source, r.target.Addr()).Partitioned && !r.closed(p) {
			time.Sleep(faultPoll)
		}
		if !open || p.silent.Load() {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			open = false
			p.close()
		}
	}
	if !p.silent.Load() {
		closeWrite(to)
	}
}

// closed tells whether the pair has been closed from outside.
func (*TCP) closed(p *pair) bool {
	_, err := p.client.Write(nil)
	return err != nil
}

func closeWrite(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
		return
	}
	_ = conn.Close()
}

var _ io.Closer = (*TCP)(nil)
