package caller_test

import (
	"testing"
	"time"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/lentilwind/jsonc"
	"lentilwind.dev/lentilwind/session"
)

const (
	insertOrder = `/*route='order'*/ INSERT INTO stock (key, value) VALUES ($1, $2)`
	readLookup  = `/*route='lookup'*/ SELECT value FROM stock WHERE key = $1`
)

func TestSessionReadsItsOwnWriteFromAReplicaAfterRoaming(t *testing.T) {
	f := newFleet(t, func(cfg *database.Config) { cfg.ApplyDelay = jsonc.Duration(20 * time.Millisecond) })
	first, second := f.newEntry(), f.newEntry()
	ctx := testContext(t)
	writer := first.connect(t, "")
	for i := range 10 {
		key := string(rune('a' + i))
		if _, err := writer.Exec(ctx, insertOrder, key, 17+i); err != nil {
			t.Fatal(err)
		}
		token := writer.PgConn().ParameterStatus(session.ParameterName)
		if token == "" {
			t.Fatal("no token after a write")
		}
		for _, presented := range []string{token, ""} {
			reader := second.connect(t, presented)
			var value int
			if err := reader.QueryRow(ctx, readLookup, key).Scan(&value); err != nil || value != 17+i {
				t.Fatalf("token %q: got %d, %v", presented, value, err)
			}
		}
	}
	if reads := second.server.Counters.ReplicaReads.Load(); reads == 0 {
		t.Errorf("no replica served any of %d reads", 20)
	}
	t.Logf("replica %d primary %d", second.server.Counters.ReplicaReads.Load(), second.server.Counters.PrimaryReads.Load())
}
