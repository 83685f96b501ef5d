package relay

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const maxPacketBytes = 64 << 10

// UDP forwards packets to one target and the answers back.
type UDP struct {
	network *Network
	socket  *net.UDPConn
	target  netip.AddrPort
	// packets and bytes count what came from either side.
	packets, bytes atomic.Uint64

	mu       sync.Mutex
	sessions map[netip.AddrPort]*net.UDPConn
	closed   bool
	done     sync.WaitGroup
}

// ListenUDP starts to forward packets.
func ListenUDP(network *Network, listen, target netip.AddrPort) (*UDP, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &UDP{network: network, socket: socket, target: target, sessions: make(map[netip.AddrPort]*net.UDPConn)}
	r.done.Add(1)
	go r.forward()
	return r, nil
}

// Address returns where the relay listens.
func (r *UDP) Address() netip.AddrPort { return r.socket.LocalAddr().(*net.UDPAddr).AddrPort() }

// Traffic returns how many packets and bytes of payload have come from both sides.
func (r *UDP) Traffic() (packets, bytes uint64) { return r.packets.Load(), r.bytes.Load() }

func (r *UDP) count(n int) {
	r.packets.Add(1)
	r.bytes.Add(uint64(n))
}

// ForgetSessions makes all present senders silent for good; packets from new ports work.
func (r *UDP) ForgetSessions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for sender, session := range r.sessions {
		_ = session.Close()
		r.sessions[sender] = nil
	}
}

// Close ends the relay.
func (r *UDP) Close() error {
	r.mu.Lock()
	r.closed = true
	for _, session := range r.sessions {
		if session != nil {
			_ = session.Close()
		}
	}
	r.mu.Unlock()
	err := r.socket.Close()
	r.done.Wait()
	return err
}

func (r *UDP) forward() {
	defer r.done.Done()
	buf := make([]byte, maxPacketBytes)
	for {
		n, sender, err := r.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		session := r.session(sender)
		if session == nil {
			continue
		}
		r.count(n)
		packet := append([]byte(nil), buf[:n]...)
		r.pass(sender.Addr(), func() { _, _ = session.Write(packet) })
	}
}

// session returns the socket towards the target that stands for a sender, or nil when the sender was forgotten.
func (r *UDP) session(sender netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	session, found := r.sessions[sender]
	if found || r.closed {
		return session
	}
	local := net.UDPAddrFromAddrPort(netip.AddrPortFrom(sender.Addr(), 0))
	session, err := net.DialUDP("udp", local, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil
	}
	r.sessions[sender] = session
	r.done.Add(1)
	go r.answer(sender, session)
	return session
}

func (r *UDP) answer(sender netip.AddrPort, session *net.UDPConn) {
	defer r.done.Done()
	buf := make([]byte, maxPacketBytes)
	for {
		n, err := session.Read(buf)
		if err != nil {
			if r.over(session) {
				return
			}
			continue
		}
		r.count(n)
		packet := append([]byte(nil), buf[:n]...)
		r.pass(sender.Addr(), func() { _, _ = r.socket.WriteToUDPAddrPort(packet, sender) })
	}
}

// over tells whether a read error means the end; a target that is down for a while causes others.
func (r *UDP) over(session *net.UDPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return true
	}
	for _, s := range r.sessions {
		if s == session {
			return false
		}
	}
	return true
}

// pass sends a packet now or later, or drops it, as the network says.
func (r *UDP) pass(sender netip.Addr, send func()) {
	fault := r.network.between(sender, r.target.Addr())
	switch {
	case fault.Partitioned:
	case fault.Delay > 0:
		time.AfterFunc(fault.Delay, send)
	default:
		send()
	}
}
