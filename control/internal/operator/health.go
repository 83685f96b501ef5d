package operator

import (
	"io"
	"net/http"
)

// NewHealthHandler returns the handler of the liveness, readiness and metrics endpoints, which need no certificate.
func NewHealthHandler(r Replica, stopping func() bool, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := notReadyReason(r, stopping()); reason != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, reason+"\n")
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	mux.Handle("GET /metrics", metrics)
	return mux
}

func notReadyReason(r Replica, stopping bool) string {
	if stopping {
		return "stopping"
	}
	if !r.IsMember() {
		return "waiting to become a member"
	}
	if _, known := r.Leader(); !known {
		return "no leader is known"
	}
	return ""
}
