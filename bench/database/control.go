package database

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// startControl starts the HTTP interface for fault injection.
func (s *Server) startControl() error {
	if s.cfg.ControlListen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", s.cfg.ControlListen)
	if err != nil {
		return fmt.Errorf("database: %w", err)
	}
	s.controlAddress = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", s.showFaults)
	mux.HandleFunc("POST /faults", s.changeFaults)
	mux.HandleFunc("POST /silence", func(http.ResponseWriter, *http.Request) { s.SilenceConnections() })
	mux.HandleFunc("POST /drop", func(http.ResponseWriter, *http.Request) { s.DropConnections() })
	mux.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { s.Leave() })
	mux.HandleFunc("POST /watch", s.addWatchedText)
	s.control = &http.Server{Handler: mux, ReadHeaderTimeout: controlTimeout}
	go func() { _ = s.control.Serve(listener) }()
	return nil
}

const controlTimeout = 5 * time.Second

func (s *Server) showFaults(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Faults())
}

// changeFaults sets the faults given in the body and leaves the others unchanged.
func (s *Server) changeFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(func(f *Faults) { *f = faults })
	s.showFaults(w, r)
}

// addWatchedText adds a text to those searched for in received bytes.
func (s *Server) addWatchedText(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Text string `json:"text"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Text == "" {
		http.Error(w, "give a text", http.StatusBadRequest)
		return
	}
	s.Watch(body.Text)
}
