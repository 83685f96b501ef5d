package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const service = "huvo11a"

var (
	tenantNypu = tenant{"nypu920", []string{"u6wsjnbanfqasnmgkcuy"}}
	tenantVesu = tenant{"vesu317", []string{"k3tzbd92mfkq0xw7hayd"}}
)

// firstConfiguration is the configuration that the operator sends first.
var firstConfiguration = configuration(1, service, []tenant{tenantNypu, tenantVesu})

// deploy starts the databases, the platform and the system, sends the first configuration and waits until all fronts are ready.
func deploy(f *fleet, rec *recorder, primary int) (*group, error) {
	g, err := newGroup(rec, service, fmt.Sprintf("127.%d.8.1", f.network), zones[:3], primary, f.controlAddresses)
	if err != nil {
		return nil, err
	}
	if err := f.servePlatform(g); err != nil {
		return g, err
	}
	if err := f.startAll(); err != nil {
		return g, err
	}
	if _, err := f.configure(firstConfiguration, 15*time.Second); err != nil {
		return g, err
	}
	if err := f.awaitReady(15*time.Second, f.fronts...); err != nil {
		return g, err
	}
	// All databases have sent two heartbeats by then.
	time.Sleep(2*heartbeatPeriod + 200*time.Millisecond)
	return g, nil
}

// foreignRuns returns the statements that ran for another tenant or in the transaction of another client, and the writes that were
// committed by another client than the one that sent them.
func foreignRuns(g *group) []string {
	nobody := &client{name: "nobody"}
	g.mu.Lock()
	defer g.mu.Unlock()
	var broken []string
	sender := func(id string) *client {
		sent, found := sentStatements.Load(id)
		if !found {
			return nobody
		}
		return sent.(sentStatement).client
	}
	for _, r := range g.runs {
		c := sender(r.id)
		if c.tenant != r.tenant {
			broken = append(broken, fmt.Sprintf("UNASKED: statement %s %q of client %s, tenant %s, ran for tenant %s", r.id, r.text, c.name, c.tenant, r.tenant))
		}
		if r.opener != "" && sender(r.opener) != c {
			broken = append(broken, fmt.Sprintf("PINNED: statement %s %q of client %s ran in the transaction of client %s", r.id, r.text, c.name, sender(r.opener).name))
		}
	}
	for written, by := range g.committed {
		if written != "" && sender(written) != sender(by) {
			broken = append(broken, fmt.Sprintf("UNASKED: write %s of client %s was committed by statement %s of client %s",
				written, sender(written).name, by, sender(by).name))
		}
	}
	return broken
}

// killedOwner kills the process of one front while transactions of clients at other fronts are open, and starts it again.
func killedOwner(f *fleet, rec *recorder, trouble bool) ([]string, error) {
	const tunja = 2
	g, err := deploy(f, rec, tunja)
	if g != nil {
		defer g.close()
	}
	if err != nil {
		return nil, err
	}
	killed := f.find("front-tunja-1")
	var early, late []*client
	defer func() {
		for _, c := range append(early, late...) {
			c.close()
		}
	}()
	for i, name := range []string{"front-raquira-1", "front-bogota-norte-1", "front-chiquinquira-1"} {
		c, err := connect(rec, fmt.Sprintf("early-%d", i+1), tenantNypu.name, f.frontAddress(f.find(name)), "crate", tenantNypu.keys[0])
		if err != nil {
			return nil, err
		}
		early = append(early, c)
		if a := c.query("BEGIN"); !a.ok() {
			return nil, fmt.Errorf("%s: %v", c.name, a)
		}
		if a := c.query(fmt.Sprintf("WRITE early%d first", i+1)); !a.ok() {
			return nil, fmt.Errorf("%s: %v", c.name, a)
		}
	}
	if trouble {
		f.kill(killed)
		time.Sleep(300 * time.Millisecond)
		if err := f.start(killed, false); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(10*time.Second, killed); err != nil {
		return nil, err
	}
	for i := range 3 {
		c, err := connect(rec, fmt.Sprintf("late-%d", i+1), tenantVesu.name, f.frontAddress(killed), "crate", tenantVesu.keys[0])
		if err != nil {
			return nil, err
		}
		late = append(late, c)
		if a := c.query("BEGIN"); !a.ok() {
			return nil, fmt.Errorf("%s: %v", c.name, a)
		}
		if a := c.query(fmt.Sprintf("WRITE late%d first", i+1)); !a.ok() {
			return nil, fmt.Errorf("%s: %v", c.name, a)
		}
	}
	for i, c := range early {
		if a := c.query(fmt.Sprintf("WRITE early%d second", i+1)); a.ok() {
			c.query("COMMIT")
		} else if a.err == nil {
			c.query("ROLLBACK")
		}
	}
	for i, c := range late {
		if a := c.query(fmt.Sprintf("WRITE late%d second", i+1)); a.ok() {
			c.query("COMMIT")
		} else if a.err == nil {
			c.query("ROLLBACK")
		}
	}
	return foreignRuns(g), nil
}

// staleProof partitions the primary from the core and from the other databases while a transaction that only reads is open there. The client
// commits it after another database was promoted.
func staleProof(f *fleet, rec *recorder, trouble bool) ([]string, error) {
	const raquira = 0
	const maxStaleness = 1500 * time.Millisecond
	g, err := deploy(f, rec, raquira)
	if g != nil {
		defer g.close()
	}
	if err != nil {
		return nil, err
	}
	former := g.databases[raquira]
	near, far := f.frontAddress(f.find("front-raquira-1")), f.frontAddress(f.find("front-tunja-1"))
	reader, err := connect(rec, "reader", tenantNypu.name, near, "crate", tenantNypu.keys[0])
	if err != nil {
		return nil, err
	}
	defer reader.close()
	var lookups []*client
	for i := range 3 {
		c, err := connect(rec, fmt.Sprintf("lookup-%d", i+1), tenantNypu.name, near, "shelf", tenantNypu.keys[0])
		if err != nil {
			return nil, err
		}
		defer c.close()
		lookups = append(lookups, c)
	}
	writer, err := connect(rec, "writer", tenantVesu.name, far, "crate", tenantVesu.keys[0])
	if err != nil {
		return nil, err
	}
	defer writer.close()
	if a := reader.query("BEGIN"); !a.ok() {
		return nil, fmt.Errorf("reader: %v", a)
	}
	if a := reader.query("READ item1"); !a.ok() {
		return nil, fmt.Errorf("reader: %v", a)
	}
	begun := time.Now()
	if trouble {
		g.setCut(former, true)
		rec.printf("network: %s is partitioned from the core and from its replicas", former.id)
		defer g.setCut(former, false)
		for g.primary() == former {
			if time.Since(begun) > 10*time.Second {
				return nil, fmt.Errorf("nothing was promoted: %w", errNotInTime)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	var acknowledged time.Time
	for end := time.Now().Add(3 * time.Second); acknowledged.IsZero() && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if a := writer.query("WRITE item1 sold"); a.ok() {
			acknowledged = a.at
		}
	}
	if acknowledged.IsZero() {
		return nil, fmt.Errorf("no write was acknowledged: %w", errNotInTime)
	}
	// The transaction stays idle for less than txIdleMs.
	time.Sleep(time.Until(begun.Add(2700 * time.Millisecond)))
	reader.query("COMMIT")
	time.Sleep(time.Until(acknowledged.Add(maxStaleness + 300*time.Millisecond)))
	var broken []string
	for range 12 {
		for _, c := range lookups {
			a := c.query("READ item1")
			if a.ok() && len(a.rows) == 1 && a.rows[0] != "sold" {
				broken = append(broken, fmt.Sprintf("STALE: %s %s read %q %d ms after the acknowledgement of another value; the bound is %d ms",
					c.name, a.id, a.rows[0], a.sentAt.Sub(acknowledged).Milliseconds(), maxStaleness.Milliseconds()))
			}
		}
	}
	return broken, nil
}

// revokedTransaction takes a tenant's key away while a transaction of a client with that key is open.
func revokedTransaction(f *fleet, rec *recorder, trouble bool) ([]string, error) {
	const revokeTime = 5 * time.Second
	g, err := deploy(f, rec, 0)
	if g != nil {
		defer g.close()
	}
	if err != nil {
		return nil, err
	}
	c, err := connect(rec, "holder", tenantNypu.name, f.frontAddress(f.find("front-raquira-1")), "crate", tenantNypu.keys[0])
	if err != nil {
		return nil, err
	}
	defer c.close()
	if a := c.query("BEGIN"); !a.ok() {
		return nil, fmt.Errorf("holder: %v", a)
	}
	if a := c.query("WRITE item1 first"); !a.ok() {
		return nil, fmt.Errorf("holder: %v", a)
	}
	revoked := time.Now()
	if trouble {
		next := configuration(2, service, []tenant{{tenantNypu.name, []string{"p0qkvz61xwjd4mtynehb"}}, tenantVesu})
		if revoked, err = f.configure(next, 5*time.Second); err != nil {
			return nil, err
		}
	}
	// Pauses within a transaction are shorter than txIdleMs.
	for _, text := range []string{"READ item2", "READ item3", "READ item4", "WRITE item5 second", "COMMIT"} {
		time.Sleep(1800 * time.Millisecond)
		if a := c.query(text); !a.ok() {
			break
		}
	}
	if !trouble {
		return nil, nil
	}
	return runsAfter(g, c, revoked.Add(revokeTime)), nil
}

// runsAfter returns the statements of a client that were sent after a time and run.
func runsAfter(g *group, c *client, after time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var broken []string
	for _, r := range g.runs {
		sent, found := sentStatements.Load(r.id)
		if !found || sent.(sentStatement).client != c {
			continue
		}
		if at := sent.(sentStatement).at; at.After(after) {
			broken = append(broken, fmt.Sprintf("CONFIG: statement %s %q with a withdrawn key was sent %d ms after revokeMs had passed, and ran",
				r.id, r.text, at.Sub(after).Milliseconds()))
		}
	}
	return broken
}

// supervise starts each core process again after it has ended, as the platform does, and counts the ends.
func supervise(f *fleet, rec *recorder, stop <-chan struct{}) func() map[string]int {
	var mu sync.Mutex
	var watchers sync.WaitGroup
	ends := make(map[string]int)
	for _, n := range f.cores {
		watchers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-n.ended:
				}
				mu.Lock()
				ends[n.name]++
				mu.Unlock()
				rec.printf("platform: %s ended by itself: %v; last line: %s", n.name, n.cmd.ProcessState, f.lastLine(n))
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
				if err := f.start(n, false); err != nil {
					rec.printf("platform: %s: %v", n.name, err)
					return
				}
			}
		})
	}
	return func() map[string]int {
		watchers.Wait()
		return ends
	}
}

// foreignHeartbeat sends one heartbeat of another writer, whose id is not readable text, and watches the core for some seconds. Then the operator
// reads back the configuration.
func foreignHeartbeat(f *fleet, rec *recorder, trouble bool) ([]string, error) {
	const (
		watched       = 15 * time.Second
		stableWindow  = 4 * time.Second
		endsForAFault = 3
	)
	g, err := deploy(f, rec, 0)
	if g != nil {
		defer g.close()
	}
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	ends := supervise(f, rec, stop)
	id := "i-7f3a91c2"
	if trouble {
		id = "i-%ff%fe91c2"
	}
	body := fmt.Sprintf(`{"service":%q,"address":"127.%d.7.7:9","zone":"tunja","version":"v1","slots":3,"state":"ready","coldLeftMs":0,"dbRole":"replica","seqNo":1,"born":%d}`,
		service, f.network, time.Now().UnixMilli())
	for _, address := range f.controlAddresses() {
		status, _, err := f.call(http.MethodPut, "http://"+address+"/lentilwind/instances/"+id, body)
		rec.printf("another writer: PUT /lentilwind/instances/%s at %s: status %d, %v", id, address, status, err)
		if status/100 == 2 || status/100 == 4 {
			break
		}
	}
	served, refused := 0, 0
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		c, err := connect(rec, "clerk", tenantNypu.name, f.frontAddress(f.find("front-raquira-1")), "crate", tenantNypu.keys[0])
		if err != nil {
			refused++
			continue
		}
		if c.query("WRITE item1 value").ok() {
			served++
		} else {
			refused++
		}
		c.close()
	}
	rec.printf("%d writes were served and %d refused in the %v after the heartbeat", served, refused, watched)
	readBack := false
	for end := time.Now().Add(2 * stableWindow); !readBack && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, address := range f.controlAddresses() {
			status, text, err := f.call(http.MethodGet, "http://"+address+"/lentilwind/config", "")
			rec.printf("operator: GET /lentilwind/config at %s: status %d, %v", address, status, err)
			readBack = readBack || status == http.StatusOK && text == firstConfiguration
		}
	}
	close(stop)
	var broken []string
	if !readBack {
		broken = append(broken, fmt.Sprintf("CONFIG: the acknowledged configuration was not read back within %v", 2*stableWindow))
	}
	for name, n := range ends() {
		rec.printf("%s ended by itself %d times", name, n)
		if n >= endsForAFault {
			broken = append(broken, fmt.Sprintf("Fault: %s ended by itself %d times", name, n))
		}
	}
	slices.Sort(broken)
	return broken, nil
}
