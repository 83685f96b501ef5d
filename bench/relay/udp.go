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

// UDP is a proxy that forwards packets to one target and the replies back to their senders.
type UDP struct {
	network *Network
	socket  *net.UDPConn
	target  netip.AddrPort
	// packets and bytes count the traffic received from both sides.
	packets, bytes atomic.Uint64

	mu       sync.Mutex
	sessions map[netip.AddrPort]*net.UDPConn
	closed   bool
	wg       sync.WaitGroup
}

// ListenUDP starts a relay that forwards packets from listen to target.
func ListenUDP(network *Network, listen, target netip.AddrPort) (*UDP, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &UDP{network: network, socket: socket, target: target, sessions: make(map[netip.AddrPort]*net.UDPConn)}
	r.wg.Add(1)
	go r.forwardRequests()
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *UDP) Address() netip.AddrPort { return r.socket.LocalAddr().(*net.UDPAddr).AddrPort() }

// Traffic returns the number of packets and payload bytes received from both sides.
func (r *UDP) Traffic() (packets, bytes uint64) { return r.packets.Load(), r.bytes.Load() }

func (r *UDP) countPacket(n int) {
	r.packets.Add(1)
	r.bytes.Add(uint64(n))
}

// ForgetSessions permanently drops the packets of all current senders; new source ports work.
func (r *UDP) ForgetSessions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for sender, session := range r.sessions {
		_ = session.Close()
		r.sessions[sender] = nil
	}
}

// Close stops the relay and waits for its goroutines.
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
	r.wg.Wait()
	return err
}

func (r *UDP) forwardRequests() {
	defer r.wg.Done()
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
		r.countPacket(n)
		packet := append([]byte(nil), buf[:n]...)
		r.sendWithFault(sender.Addr(), func() { _, _ = session.Write(packet) })
	}
}

// session returns the socket that sends a sender's packets to the target, or nil if the sender was forgotten.
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
	r.wg.Add(1)
	go r.forwardReplies(sender, session)
	return session
}

func (r *UDP) forwardReplies(sender netip.AddrPort, session *net.UDPConn) {
	defer r.wg.Done()
	buf := make([]byte, maxPacketBytes)
	for {
		n, err := session.Read(buf)
		if err != nil {
			if r.sessionEnded(session) {
				return
			}
			continue
		}
		r.countPacket(n)
		packet := append([]byte(nil), buf[:n]...)
		r.sendWithFault(sender.Addr(), func() { _, _ = r.socket.WriteToUDPAddrPort(packet, sender) })
	}
}

// sessionEnded reports whether a read error means that the session was closed; a target that is temporarily down also
// causes read errors.
func (r *UDP) sessionEnded(session *net.UDPConn) bool {
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

// sendWithFault sends, delays or drops a packet according to the current fault.
func (r *UDP) sendWithFault(sender netip.Addr, send func()) {
	fault := r.network.faultBetween(sender, r.target.Addr())
	switch {
	case fault.Partitioned:
	case fault.Delay > 0:
		time.AfterFunc(fault.Delay, send)
	default:
		send()
	}
}
