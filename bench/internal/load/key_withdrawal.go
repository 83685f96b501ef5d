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

// watchPeriod is the time between the requests with one key.
const watchPeriod = 50 * time.Millisecond

// ReadUntilKeyRefused keeps sending reads with one key on an open connection until it is refused or the context ends.
func (l *Generator) ReadUntilKeyRefused(ctx context.Context, workspace inventory.WorkspaceName, id inventory.KeyID, key string) {
	step := l.readStep()
	service := &l.cfg.Services[0]
	if step == nil {
		return
	}
	var conn *pgx.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close(context.Background())
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		entry := l.cfg.Entries[n%len(l.cfg.Entries)]
		r := history.Request{
			ID: fmt.Sprintf("watch-%s-%d", id, n), Workspace: workspace, Service: service.Name, Session: "watch-" + string(id),
			Entry: entry.Name, Path: history.PathEntry, Route: step.Route, Key: keyName(0), Credential: id,
			MaxStaleness: jsonc.Duration(step.MaxStaleness), Slot: SlotOf(keyName(0), service.Slots), Scheduled: time.Now(),
		}
		conn = l.watchOnce(ctx, conn, entry, service, credentials{workspace, key, ""}, &r)
		if ctx.Err() != nil {
			return
		}
		l.record(r)
		if r.Outcome == history.OutcomeKeyRefused {
			return
		}
		sleepUntil(ctx, r.Scheduled.Add(watchPeriod))
	}
}

func (l *Generator) watchOnce(
	ctx context.Context, conn *pgx.Conn, e Entry, service *Service, c credentials, r *history.Request,
) *pgx.Conn {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	r.Invoked = time.Now()
	if conn == nil {
		var err error
		if conn, err = l.dialEntry(ctx, e, service, c); err != nil {
			r.Completed = time.Now()
			r.Outcome, r.Code, r.Message = classifyConnect(err)
			return nil
		}
	}
	err := perform(ctx, conn, r, KindRead)
	r.Completed = time.Now()
	r.Outcome, r.Code, r.Message = classify(err)
	if conn.IsClosed() {
		return nil
	}
	return conn
}
