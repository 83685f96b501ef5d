package health

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"lentilwind.dev/lentilwind/protocol"
)

// Limits of the HTTP server.
const (
	maxAnnouncementBytes = 1 << 20
	readTimeout          = 5 * time.Second
	writeTimeout         = 10 * time.Second
	shutdownTimeout      = time.Second
)

// Config configures the HTTP endpoints.
type Config struct {
	// Ready returns nil if the entry accepts new callers, otherwise the reason why it does not.
	Ready func() error
	// Announce handles a backend server's announcement.
	Announce func(ctx context.Context, announcement protocol.Announcement) (protocol.AnnounceReply, error)
	Metrics  http.Handler
}

// Serve serves requests until the context is canceled. It closes the listener.
func Serve(ctx context.Context, listener net.Listener, cfg Config) error {
	server := &http.Server{Handler: newHandler(cfg), ReadTimeout: readTimeout, WriteTimeout: writeTimeout}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			_ = server.Close()
		}
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("health: %w", err)
	}
	return nil
}

func newHandler(cfg Config) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeStatus(w, nil)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		writeStatus(w, cfg.Ready())
	})
	mux.HandleFunc("POST /v1/announcements", func(w http.ResponseWriter, r *http.Request) {
		handleAnnouncement(w, r, cfg)
	})
	mux.Handle("GET /metrics", cfg.Metrics)
	return mux
}

func writeStatus(w http.ResponseWriter, err error) {
	body := struct {
		Ready  bool   `json:"ready"`
		Reason string `json:"reason,omitempty"`
	}{Ready: err == nil}
	code := http.StatusOK
	if err != nil {
		body.Reason = err.Error()
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, body)
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func handleAnnouncement(w http.ResponseWriter, r *http.Request, cfg Config) {
	var announcement protocol.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&announcement); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	reply, err := cfg.Announce(r.Context(), announcement)
	var refusal *protocol.Refusal
	if errors.As(err, &refusal) && refusal.Code == protocol.CodeInvalid {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func writeError(w http.ResponseWriter, code int, err error) {
	writeJSON(w, code, struct {
		Message string `json:"message"`
	}{Message: err.Error()})
}
