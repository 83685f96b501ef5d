// Command harness-3 runs one scenario of the review: the system's own processes on loopback addresses, with stand-ins for databases, platform
// and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a script.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var scenarios = map[string]func(f *fleet, trouble bool) (int, error){"busy": runBusy, "drain": runDrain, "open": runOpen, "late": runLate, "tenants": runTenants}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-3 busy|drain|open|late|tenants RECORD")
		os.Exit(cannotRun)
	}
	code, err := play(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

func play(name, recordPath string) (int, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return cannotRun, err
	}
	dir, err := os.MkdirTemp("", "lentil-review-")
	if err != nil {
		return cannotRun, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	n, err := newNetwork()
	if err != nil {
		return cannotRun, err
	}
	f := newFleet(n, dir, rec, 8)
	defer f.stopAll()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		f.stopAll()
		os.RemoveAll(dir)
		os.Exit(cannotRun)
	}()
	return scenarios[name](f, os.Getenv("TROUBLE") != "0")
}

// service is the name of the service in all scenarios.
const service = "inventario"

// setUp starts the system, a platform and one service with three databases. The first database is the primary.
func setUp(f *fleet, syncReplicas int) (*platform, *group, error) {
	var controls []string
	for _, c := range f.controls {
		controls = append(controls, address(c.ip, operatorPort))
	}
	g := newGroup(f.record, service, controls)
	g.sync = syncReplicas
	p := &platform{record: f.record, groups: map[string]*group{service: g}}
	if err := p.start(f.platform); err != nil {
		return nil, nil, err
	}
	if err := f.start(); err != nil {
		return nil, nil, err
	}
	for i, id := range []string{"i-first", "i-second", "i-third"} {
		if _, err := g.add(id, f.net.ip(14+i), zones[i]); err != nil {
			return nil, nil, err
		}
	}
	if err := configure(controls, configuration(7, service, syncReplicas)); err != nil {
		return nil, nil, err
	}
	for _, e := range f.entries {
		if err := awaitReady(e.ip); err != nil {
			return nil, nil, err
		}
	}
	f.record.note("the system is ready")
	return p, g, nil
}
