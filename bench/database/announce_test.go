package database_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

func TestServerAnnouncesItselfUntilItMayStop(t *testing.T) {
	ctx := testContext(t)
	announcements := make(chan protocol.Announcement, 100)
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a protocol.Announcement
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil || r.URL.Path != "/v1/announcements" {
			t.Errorf("received an invalid announcement: %v", err)
		}
		_ = json.NewEncoder(w).Encode(protocol.AnnounceReply{MayStop: a.Leaving})
		announcements <- a
	}))
	defer entry.Close()
	stopped := httptest.NewServer(nil)
	stopped.Close()
	server := startServer(t, database.Config{DataCentre: "raquira", Announce: []string{stopped.URL, entry.URL}})
	first := <-announcements
	if first.Address != server.Address() || first.DataCentre != "raquira" || len(first.Slots) != 3 || first.Leaving {
		t.Errorf("the announcement is wrong: %+v", first)
	}
	if first.Slots[0].Role != group.RolePrimary || first.Sequence != 1 || first.Incarnation == 0 {
		t.Errorf("the announcement is wrong: %+v", first)
	}
	server.Leave()
	select {
	case <-server.Stopped():
	case <-ctx.Done():
		t.Error("the server did not stop")
	}
}

func TestFaultsAreSetOverHTTP(t *testing.T) {
	ctx := testContext(t)
	server := startServer(t, database.Config{ControlListen: "127.0.0.1:0"})
	response, err := http.Post("http://"+server.ControlAddress()+"/faults", "application/json",
		strings.NewReader(`{"refuseConnections": true, "applyDelay": "50ms"}`))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	if f := server.Faults(); !f.RefuseConnections || f.ApplyDelay.String() != "50ms" {
		t.Errorf("the faults are %+v", f)
	}
	_, err = dial(ctx, server, database.UserSystem)
	wantCode(t, err, "57P03")
}
