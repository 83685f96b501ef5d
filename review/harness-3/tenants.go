package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// foreignKey is a key that no configuration holds.
const foreignKey = "zzzzforeignkeyzzzzzz"

// runTenants sends a configuration that lacks its tenants, as if cut short. No request may run whose key no configuration ever held.
func runTenants(f *fleet, trouble bool) (int, error) {
	_, g, err := setUp(f, 0)
	if err != nil {
		return cannotRun, err
	}
	var mu sync.Mutex
	foreign := map[string]bool{}
	ran := 0
	g.accept = func(d *database, id, text string) {
		mu.Lock()
		defer mu.Unlock()
		if foreign[id] {
			if ran++; ran <= 5 {
				f.record.note("%s runs %s %s, which was sent with a key that no configuration ever held", d.id, id, text)
			}
		}
	}
	// try sends one write with the foreign key at each entry and counts those that were answered with success.
	try := func() int {
		served := 0
		for _, e := range f.entries {
			c, err := dialWithKey(e.ip, "orders", foreignKey)
			if err != nil {
				f.record.line("client at %s: START orders with the foreign key -> %v", e.name, err)
				continue
			}
			id := newID()
			mu.Lock()
			foreign[id] = true
			mu.Unlock()
			a, err := c.query(id, "WRITE 1a4 xkqpwnzd", 2*time.Second)
			f.record.line("client at %s: write %s with the foreign key -> %s %v", e.name, id, a.code, err)
			if err == nil && a.code == done {
				served++
			}
			c.close()
		}
		return served
	}
	before := try()
	f.record.note("before the disruption, %d of %d entries serve the foreign key", before, len(f.entries))
	if before > 0 {
		return cannotRun, nil
	}
	if trouble {
		incomplete := configuration(8, service, 0)
		delete(incomplete, "tenants")
		status, text, err := send(g.controls[0], incomplete)
		if err != nil {
			return cannotRun, err
		}
		f.record.note("PUT /lentilwind/config with version 8, all but its tenants: %d %s", status, text)
	}
	// That is longer than configApplyMs.
	time.Sleep(4 * time.Second)
	f.record.note("afterwards, %d of %d entries serve the foreign key", try(), len(f.entries))
	if ran > 0 {
		f.record.note("ROUTE is broken: %d requests ran whose key no configuration ever held, on a route that is not authExempt", ran)
		return broken, nil
	}
	f.record.note("ROUTE held")
	return held, nil
}

// send sends a configuration until it gets a clear response.
func send(control string, config map[string]any) (int, string, error) {
	body, err := json.Marshal(config)
	if err != nil {
		return 0, "", err
	}
	client := &http.Client{Timeout: 2 * time.Second}
	for range 20 {
		response, err := client.Do(put(control, body))
		if err == nil {
			text, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode < http.StatusInternalServerError {
				return response.StatusCode, string(text), nil
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return 0, "", fmt.Errorf("control does not answer")
}
