package link_test

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/lentilwind/hlc"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func newEndpoint(t *testing.T, authority identity.KeyPair, name string) *link.Endpoint {
	t.Helper()
	signer, err := identity.LoadAuthority(authority)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := signer.Issue(name, identity.RoleEntry, nil, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := identity.Files{
		Authority:   filepath.Join(dir, "authority.pem"),
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
	}
	writeFile(t, files.Authority, authority.Certificate)
	writeFile(t, files.Certificate, pair.Certificate)
	writeFile(t, files.Key, pair.Key)
	source, err := identity.Load(files)
	if err != nil {
		t.Fatal(err)
	}
	endpoint, err := link.Listen(link.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Name: inventory.InstanceName(name), Incarnation: 1,
		Identity: source, Clock: &hlc.Clock{}, Log: logs.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return endpoint
}

func serve(t *testing.T, e *link.Endpoint) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func newAuthority(t *testing.T) identity.KeyPair {
	t.Helper()
	pair, err := identity.NewAuthority("test", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

func TestCallReturnsReplyOrRefusal(t *testing.T) {
	authority := newAuthority(t)
	server, client := newEndpoint(t, authority, "server"), newEndpoint(t, authority, "client")
	server.Handle(protocol.KindDraw, func(_ context.Context, peer identity.Peer, request protocol.Frame) (any, error) {
		var body protocol.DrawRequest
		if err := protocol.Decode(request.Body, &body); err != nil {
			return nil, err
		}
		if len(body.Draws) == 0 {
			return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: "no draws"}
		}
		return protocol.DrawReply{Grants: []protocol.Grant{{Workspace: inventory.WorkspaceName(peer.Name), Granted: 3}}}, nil
	})
	serve(t, server)
	serve(t, client)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var reply protocol.DrawReply
	err := client.Call(ctx, server.Address(), protocol.KindDraw, protocol.DrawRequest{Draws: []protocol.Draw{{Want: 1}}}, &reply)
	if err != nil || reply.Grants[0].Workspace != "client" {
		t.Errorf("got %+v, %v", reply, err)
	}
	err = client.Call(ctx, server.Address(), protocol.KindDraw, protocol.DrawRequest{}, &reply)
	var refusal *protocol.Refusal
	if !errors.As(err, &refusal) || refusal.Code != protocol.CodeInvalid {
		t.Errorf("got %v", err)
	}
}

func TestCallFromAnotherAuthorityIsRefused(t *testing.T) {
	server, foreign := newEndpoint(t, newAuthority(t), "server"), newEndpoint(t, newAuthority(t), "client")
	server.Handle(protocol.KindDraw, func(context.Context, identity.Peer, protocol.Frame) (any, error) {
		t.Error("a client of another authority reached the handler")
		return nil, nil
	})
	serve(t, server)
	serve(t, foreign)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := foreign.Call(ctx, server.Address(), protocol.KindDraw, protocol.DrawRequest{}, &protocol.DrawReply{}); err == nil {
		t.Error("the call succeeded")
	}
}

// A reply may arrive before the caller has closed its side of the stream; the resulting error of Close must not fail the call.
func TestEarlyRepliesDoNotFailCalls(t *testing.T) {
	authority := newAuthority(t)
	server, client := newEndpoint(t, authority, "server"), newEndpoint(t, authority, "client")
	server.Handle(protocol.KindDraw, func(context.Context, identity.Peer, protocol.Frame) (any, error) {
		return protocol.DrawReply{}, nil
	})
	serve(t, server)
	serve(t, client)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var g errgroup.Group
	for range 16 {
		g.Go(func() error {
			for range 500 {
				if err := client.Call(ctx, server.Address(), protocol.KindDraw, protocol.DrawRequest{}, &protocol.DrawReply{}); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}
