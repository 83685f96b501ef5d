package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// platform accepts orders to promote a database.
type platform struct {
	record *record
	groups map[string]*group
	// down means that calls get no answer and are not carried out.
	down atomic.Bool
	// delay is how long a slow platform takes to carry out a call and to answer it, in nanoseconds.
	delay atomic.Int64
	// ordered is called with each order as it arrives.
	ordered func(id string)
}

func (p *platform) start(at string) error {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.promote)
	go http.Serve(listener, mux)
	return nil
}

func (p *platform) promote(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	if p.down.Load() {
		p.record.line("POST /promote %s by %s with token %d: the platform is down", order.ID, r.Header.Get("X-Duty-Holder"), fence)
		<-r.Context().Done()
		return
	}
	if p.ordered != nil {
		p.ordered(order.ID)
	}
	if delay := time.Duration(p.delay.Load()); delay > 0 {
		p.record.note("POST /promote %s by %s with token %d arrives at the slow platform", order.ID, r.Header.Get("X-Duty-Holder"), fence)
		time.Sleep(delay)
	}
	g := p.groups[order.Service]
	status := http.StatusConflict
	if g != nil {
		status = g.promote(order.ID, fence)
	}
	p.record.note("POST /promote %s by %s with token %d: %d", order.ID, r.Header.Get("X-Duty-Holder"), fence, status)
	w.WriteHeader(status)
}

// configuration returns a configuration for one service.
func configuration(version int, service string, syncReplicas int) map[string]any {
	route := func(name, host, kind string, timeout, target, staleness int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": "/", "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": target, "priority": 1,
			"service": service, "maxAttempts": 2, "maxStalenessMs": staleness, "authExempt": false,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-orders", "orders", "primary", 800, 150, 0), route("r-lookup", "lookup", "bounded_staleness", 2000, 500, 1500),
			route("r-counts", "counts", "read_own_writes", 800, 250, 2500),
		},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 36, "protocol": "h1", "tls": false, "syncReplicas": syncReplicas}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
		"tenants":  []any{map[string]any{"name": "nypu920", "apiKeys": []string{clientKey}, "priority": 1, "ratePerS": 1000, "burst": 1000}},
	}
}

const clientKey = "u6wsjnbanfqasnmgkcuy"

// configure sends a configuration until it is acknowledged.
func configure(controls []string, config map[string]any) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: 2 * time.Second}
	for try := range 60 {
		response, err := client.Do(put(controls[try%len(controls)], body))
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("no control process has accepted the configuration")
}

func put(control string, body []byte) *http.Request {
	request, _ := http.NewRequest(http.MethodPut, "http://"+control+"/lentilwind/config", bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	return request
}

// awaitReady waits until an entry is ready.
func awaitReady(ip string) error {
	client := &http.Client{Timeout: time.Second}
	for range 100 {
		if response, err := client.Get("http://" + address(ip, readyPort) + "/lentilwind/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("an entry does not become ready")
}
