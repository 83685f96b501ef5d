package relay_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"lentilwind.dev/bench/relay"
)

const shortWait = 100 * time.Millisecond

func newNetwork() *relay.Network {
	return relay.NewNetwork(func(a netip.Addr) relay.Zone {
		if a == netip.MustParseAddr("127.0.0.2") {
			return "b"
		}
		return "a"
	})
}

func startEcho(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func startTCP(t *testing.T, network *relay.Network) (*relay.TCP, string) {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	if err := free.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := relay.ListenTCP(network, netip.MustParseAddrPort(address), startEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	return r, address
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends one byte and reports whether a byte is received within wait.
func exchange(t *testing.T, conn net.Conn, wait time.Duration) bool {
	t.Helper()
	if _, err := conn.Write([]byte("x")); err != nil {
		return false
	}
	if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Read(make([]byte, 1))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return err == nil
}

func TestPartitionHoldsBackBytesUntilHealed(t *testing.T) {
	network := newNetwork()
	_, address := startTCP(t, network)
	conn := dial(t, address)
	if !exchange(t, conn, 5*time.Second) {
		t.Fatal("no answer without faults")
	}
	network.SetFault("a", "b", relay.Fault{Partitioned: true})
	if exchange(t, conn, shortWait) {
		t.Error("a byte crossed the partition")
	}
	network.Heal()
	if !exchange(t, conn, 5*time.Second) {
		t.Error("no answer after healing")
	}
}

func TestBlackholedConnectionsStaySilentWhileNewOnesWork(t *testing.T) {
	r, address := startTCP(t, newNetwork())
	old := dial(t, address)
	if !exchange(t, old, 5*time.Second) {
		t.Fatal("no answer without faults")
	}
	r.BlackholeConnections()
	if exchange(t, old, shortWait) {
		t.Error("a blackholed connection answered")
	}
	if !exchange(t, dial(t, address), 5*time.Second) {
		t.Error("a new connection got no answer")
	}
}

func TestCloseEndsPartitionedConnections(t *testing.T) {
	network := newNetwork()
	r, address := startTCP(t, network)
	network.SetFault("a", "b", relay.Fault{Partitioned: true})
	held := dial(t, address)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	later, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = later.Close() }()
	if !exchange(t, later, 5*time.Second) {
		t.Fatal("no answer within a zone, so the held connection may not be accepted yet")
	}
	closed := make(chan error, 1)
	go func() { closed <- r.Close() }()
	if _, err := later.Read(make([]byte, 1)); err == nil {
		t.Error("an open connection survived the close of the relay")
	}
	network.Heal()
	select {
	case err := <-closed:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		_ = held.Close()
		t.Fatal("the relay did not close within 5 s")
	}
	if _, err := held.Read(make([]byte, 1)); err == nil {
		t.Error("the held connection got an answer")
	}
}

func TestUDPCountsPacketsInBothDirections(t *testing.T) {
	target, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.2:0")))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	to := netip.MustParseAddrPort(target.LocalAddr().String())
	r, err := relay.ListenUDP(newNetwork(), netip.MustParseAddrPort("127.0.0.1:0"), to)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	client, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.Address()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	buf := make([]byte, 16)
	if _, err := client.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	_, from, err := target.ReadFromUDPAddrPort(buf)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := target.WriteToUDPAddrPort([]byte("defgh"), from); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Read(buf); err != nil {
		t.Fatal(err)
	}
	if packets, bytes := r.Traffic(); packets != 2 || bytes != 8 {
		t.Errorf("counted %d packets and %d bytes, want 2 and 8", packets, bytes)
	}
}
