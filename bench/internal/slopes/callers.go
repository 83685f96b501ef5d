package slopes

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"golang.org/x/sync/errgroup"

	"lentilwind.dev/bench/fleet"
	"lentilwind.dev/lentilwind/inventory"
)

const (
	callerWorkspace inventory.WorkspaceName = "w1"
	callerRate                              = 1e6
	dialers                                 = 32
	busyCallers                             = 8
	warmUp                                  = 4000
	statement                               = "/*key='k'*/ SELECT id, key, workspace, value FROM journal WHERE key = 'k'"
)

// MeasureCallers measures an entry's memory under idle callers and its processor time for statements.
func MeasureCallers(ctx context.Context, options Options, idle, statements []int) (list []Series, err error) {
	l := layout(1, 2)
	l.Workspaces[0].Rate, l.Workspaces[0].Burst = callerRate, callerRate
	f, err := fleet.Start(ctx, l, fleet.Options{BinDir: options.BinDir, Dir: filepath.Join(options.OutDir, "callers")})
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	memory := Series{Measurement: "entry, idle callers in plain text", Quantity: "memory, MB", SizeUnit: "caller"}
	processor := Series{Measurement: "entry, statements at the pool home", Quantity: "processor, ms", SizeUnit: "statement"}
	var conns []*pgconn.PgConn
	defer func() { closeAll(conns) }()
	for _, n := range idle {
		more, err := dialCallers(ctx, f, n-len(conns))
		conns = append(conns, more...)
		if err != nil {
			return nil, err
		}
		used, err := readUsage(f.Entries[0].PID())
		if err != nil {
			return nil, err
		}
		memory.add(n, used.memory)
	}
	if err := execute(ctx, conns[:busyCallers], warmUp); err != nil {
		return nil, err
	}
	for _, n := range statements {
		before, err := readUsage(f.Entries[0].PID())
		if err != nil {
			return nil, err
		}
		if err := execute(ctx, conns[:busyCallers], n); err != nil {
			return nil, err
		}
		after, err := readUsage(f.Entries[0].PID())
		if err != nil {
			return nil, err
		}
		processor.add(n, float64((after.processor - before.processor).Milliseconds()))
	}
	return fitted(memory, processor), nil
}

func closeAll(conns []*pgconn.PgConn) {
	for _, c := range conns {
		if c != nil {
			_ = c.Conn().Close()
		}
	}
}

// dialCallers opens idle connections with a key.
func dialCallers(ctx context.Context, f *fleet.Fleet, n int) ([]*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s/service-1?sslmode=disable", f.Entries[0].Callers))
	if err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	cfg.User, cfg.Password = string(callerWorkspace), f.Keys[callerWorkspace].Key
	conns := make([]*pgconn.PgConn, n)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(dialers)
	for i := range conns {
		g.Go(func() error {
			c, err := pgconn.ConnectConfig(ctx, cfg)
			conns[i] = c
			return err
		})
	}
	if err := g.Wait(); err != nil {
		closeAll(conns)
		return nil, fmt.Errorf("slopes: %s callers: %w", strconv.Itoa(n), err)
	}
	return conns, nil
}

// execute runs a number of statements over some callers.
func execute(ctx context.Context, conns []*pgconn.PgConn, statements int) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, c := range conns {
		g.Go(func() error {
			for range statements / len(conns) {
				if _, err := c.Exec(ctx, statement).ReadAll(); err != nil {
					return fmt.Errorf("slopes: %w", err)
				}
			}
			return nil
		})
	}
	return g.Wait()
}
