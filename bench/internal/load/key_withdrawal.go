package load

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

// keyReadPeriod is the time between two requests with a key that is being withdrawn.
const keyReadPeriod = 50 * time.Millisecond

// ReadUntilKeyRefused sends reads with an API key over a persistent connection until the key is refused or the context ends.
func (g *Generator) ReadUntilKeyRefused(ctx context.Context, workspace inventory.WorkspaceName, id inventory.KeyID, key string) {
	class := g.readClass()
	service := &g.cfg.Services[0]
	if class == nil {
		return
	}
	var conn *pgx.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close(context.Background())
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		entry := g.cfg.Entries[n%len(g.cfg.Entries)]
		r := history.Request{
			ID: fmt.Sprintf("watch-%s-%d", id, n), Workspace: workspace, Service: service.Name, Session: "watch-" + string(id),
			Entry: entry.Name, Path: history.PathEntry, Route: class.Route, Key: keyName(0), Credential: id,
			MaxStaleness: jsonc.Duration(class.MaxStaleness), Slot: SlotOf(keyName(0), service.Slots), Scheduled: time.Now(),
		}
		conn = g.readWithKey(ctx, conn, entry, service, credentials{workspace, key, ""}, &r)
		if ctx.Err() != nil {
			return
		}
		g.record(r)
		if r.Outcome == history.OutcomeKeyRefused {
			return
		}
		sleepUntil(ctx, r.Scheduled.Add(keyReadPeriod))
	}
}

// readWithKey sends one read, connecting first if conn is nil. It returns the connection, or nil if it has been closed.
func (g *Generator) readWithKey(
	ctx context.Context, conn *pgx.Conn, entry Entry, service *Service, c credentials, r *history.Request,
) *pgx.Conn {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	r.Invoked = time.Now()
	if conn == nil {
		var err error
		if conn, err = g.dialEntry(ctx, entry, service, c); err != nil {
			r.Completed = time.Now()
			r.Outcome, r.Code, r.Message = classifyConnect(err)
			return nil
		}
	}
	err := execute(ctx, conn, r, KindRead)
	r.Completed = time.Now()
	r.Outcome, r.Code, r.Message = classify(err)
	if conn.IsClosed() {
		return nil
	}
	return conn
}
