package health_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"lentilwind.dev/entry/internal/health"
	"lentilwind.dev/instance/metrics"
	"lentilwind.dev/lentilwind/protocol"
)

func TestHTTPEndpoints(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	set, err := metrics.New("test")
	if err != nil {
		t.Fatal(err)
	}
	var stopping atomic.Bool
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- health.Serve(ctx, listener, health.Config{
			Metrics: set.Handler,
			Ready: func() error {
				if stopping.Load() {
					return errors.New("stopping")
				}
				return nil
			},
			Announce: func(_ context.Context, a protocol.Announcement) (protocol.AnnounceReply, error) {
				if a.Sequence > 1 {
					return protocol.AnnounceReply{}, &protocol.Refusal{Code: protocol.CodeInvalid, Message: "out of range"}
				}
				return protocol.AnnounceReply{MayStop: a.Leaving}, nil
			},
		})
	}()
	url := "http://" + listener.Addr().String()
	check := func(method, path, body string, code int, contains string) {
		t.Helper()
		request, err := http.NewRequest(method, url+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		text, _ := io.ReadAll(response.Body)
		if response.StatusCode != code || !strings.Contains(string(text), contains) {
			t.Errorf("%s %s: %d %s", method, path, response.StatusCode, text)
		}
	}
	check(http.MethodGet, "/readyz", "", http.StatusOK, "true")
	stopping.Store(true)
	check(http.MethodGet, "/readyz", "", http.StatusServiceUnavailable, "stopping")
	check(http.MethodGet, "/healthz", "", http.StatusOK, "")
	check(http.MethodGet, "/metrics", "", http.StatusOK, "")
	check(http.MethodPost, "/v1/announcements", `{"server":"db-1","leaving":true}`, http.StatusOK, `"mayStop":true`)
	check(http.MethodPost, "/v1/announcements", `{"server":"db-1","sequence":2}`, http.StatusBadRequest, "out of range")
	check(http.MethodPost, "/v1/announcements", `{`, http.StatusBadRequest, "message")
	http.DefaultClient.CloseIdleConnections()
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
