package peer_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"lentilwind.dev/instance/logs"
	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

const kindEcho protocol.Kind = "echo"

func serve(t *testing.T, handle func(ctx context.Context, text string) (string, error)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer("server", logs.Discard())
	server.Handle(kindEcho, peer.TypedHandler(func(ctx context.Context, _ inventory.InstanceName, text string) (string, error) {
		return handle(ctx, text)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

func call(address, text string, timeout time.Duration) (string, error) {
	client := peer.NewClient("client")
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply string
	err := client.Call(ctx, address, kindEcho, text, &reply)
	return reply, err
}

func TestCallReturnsReply(t *testing.T) {
	address := serve(t, func(_ context.Context, text string) (string, error) { return text + "!", nil })
	if got, err := call(address, "hello", 10*time.Second); err != nil || got != "hello!" {
		t.Fatalf("%q, %v", got, err)
	}
}

func TestCallReturnsRefusal(t *testing.T) {
	address := serve(t, func(context.Context, string) (string, error) {
		return "", &protocol.Refusal{Code: protocol.CodeNotLeader, Leader: "127.0.0.9:1"}
	})
	_, err := call(address, "hello", 10*time.Second)
	var refusal *protocol.Refusal
	if !errors.As(err, &refusal) || refusal.Leader != "127.0.0.9:1" {
		t.Fatalf("%v", err)
	}
}

func TestCallToClosedPortIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	if _, err := call(address, "hello", 10*time.Second); !errors.Is(err, peer.ErrNotSent) {
		t.Fatalf("%v", err)
	}
}

func TestTimedOutCallIsNotReportedAsNotSent(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, func(context.Context, string) (string, error) { <-release; return "", nil })
	defer close(release)
	_, err := call(address, "hello", 100*time.Millisecond)
	if !errors.Is(err, peer.ErrUnavailable) || errors.Is(err, peer.ErrNotSent) {
		t.Fatalf("%v", err)
	}
}

// A connection on which nothing is received must be closed long before the deadline of a call with a long timeout.
func TestSilentConnectionIsClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
		}
	}()
	start := time.Now()
	_, err = call(listener.Addr().String(), "hello", time.Minute)
	if !errors.Is(err, peer.ErrUnavailable) || time.Since(start) > 20*time.Second {
		t.Fatalf("after %v: %v", time.Since(start), err)
	}
}

// A slow handler must not be mistaken for a silent connection: the server answers the ping.
func TestCallWaitsForSlowReply(t *testing.T) {
	address := serve(t, func(context.Context, string) (string, error) { time.Sleep(1500 * time.Millisecond); return "late", nil })
	if got, err := call(address, "hello", 20*time.Second); err != nil || got != "late" {
		t.Fatalf("%q, %v", got, err)
	}
}
