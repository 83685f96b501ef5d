package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of the deployment: those of a front and a core machine of a small site.
const (
	memoryMb     = 284
	openFiles    = 4200
	drainTime    = 7 * time.Second
	catchUp      = 4 * time.Second
	grace        = 6 * time.Second
	restartDelay = 500 * time.Millisecond
	watchPeriod  = 20 * time.Millisecond
)

var zones = []string{"raquira", "bogota-norte", "tunja", "chiquinquira"}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// process is one process of the system under test.
type process struct {
	name, role, ip, zone, dir string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	kills  int // how often the platform killed it for its memory
	ends   int // how often it ended by itself
	ending bool
	gone   bool // removed for good
}

// fleet is a small deployment: control processes, entries, one group of databases, the platform and an operator.
type fleet struct {
	rec      *record
	dir      string
	binary   string
	network  int
	ports    struct{ peer, callers, ready, operators, metrics int }
	controls []*process
	entries  []*process
	group    *group
	platform *platform
	closing  chan struct{}
	mu       sync.Mutex // protects controls and gone
	watchers sync.WaitGroup
}

// platform is the stand-in of the platform's own interface.
type platform struct {
	addr    string
	handler http.Handler
	mu      sync.Mutex
	server  *http.Server
}

func (p *platform) up() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := p.addr
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.addr = ln.Addr().String()
	p.server = &http.Server{Handler: p.handler}
	go func() { _ = p.server.Serve(ln) }()
	return nil
}

// down makes the platform refuse connections.
func (p *platform) down() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.server.Close()
}

func freePort() (int, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// newFleet starts a deployment with one control process in each of three zones and the given zones of entries. The databases are in the
// zones of dbZones, the first of them as the primary.
func newFleet(rec *record, binary string, entryZones, dbZones []string) (*fleet, error) {
	return newFleetOf(rec, binary, 3, entryZones, dbZones)
}

func newFleetOf(rec *record, binary string, controls int, entryZones, dbZones []string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, binary: binary, network: 64 + os.Getpid()%128, closing: make(chan struct{})}
	f.group = newGroup("inventario-1", rec)
	for _, port := range []*int{&f.ports.peer, &f.ports.callers, &f.ports.ready, &f.ports.operators, &f.ports.metrics} {
		if *port, err = freePort(); err != nil {
			return f, err
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", f.group.promote)
	f.platform = &platform{handler: mux}
	if err := f.platform.up(); err != nil {
		return f, err
	}
	for i := range controls {
		f.controls = append(f.controls, f.newProcess("core", "control", zones[i%len(zones)], 1, i))
	}
	for i, zone := range entryZones {
		f.entries = append(f.entries, f.newProcess("front", "entry", zone, 2, i))
	}
	for _, p := range append(append([]*process(nil), f.controls...), f.entries...) {
		if err := f.start(p, true); err != nil {
			return f, err
		}
		f.watchers.Add(1)
		go f.watch(p)
	}
	for i, zone := range dbZones {
		d, err := f.group.add(fmt.Sprintf("i-%d", i+1), zone, fmt.Sprintf("127.%d.3.%d", f.network, i+1))
		if err != nil {
			return f, err
		}
		go d.announce(f.operatorAddresses)
	}
	return f, nil
}

func (f *fleet) newProcess(class, role, zone string, subnet, i int) *process {
	return &process{
		name: fmt.Sprintf("%s-%s-%d", class, zone, i+1), role: role, zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", f.network, subnet, i+1),
		dir: filepath.Join(f.dir, fmt.Sprintf("%s-%d", role, i+1)),
	}
}

func (f *fleet) address(p *process, port int) string {
	return net.JoinHostPort(p.ip, strconv.Itoa(port))
}

func (f *fleet) operatorAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []string
	for _, p := range f.controls {
		if !p.gone {
			all = append(all, f.address(p, f.ports.operators))
		}
	}
	return all
}

// seeds returns the addresses of at most three control processes.
func (f *fleet) seeds() []string {
	all := f.operatorAddresses()
	return all[:min(len(all), 3)]
}

// writeSettings writes the settings file of a process as the template of the deploy file gives it.
func (f *fleet) writeSettings(p *process, first bool) error {
	if err := os.MkdirAll(filepath.Join(p.dir, "data"), 0o700); err != nil {
		return err
	}
	listen := map[string]string{"callers": f.address(p, f.ports.callers), "ready": f.address(p, f.ports.ready)}
	settings := map[string]any{
		"name": p.name, "dataCentre": p.zone, "ip": p.ip, "peerPorts": []int{f.ports.peer, f.ports.peer}, "controls": f.seeds(),
		"firstStart": first, "losses": 1, "announceMs": heartbeatInterval.Milliseconds(), "stopSeconds": 6, "withdrawalMs": 5000,
		"regions":  map[string]string{"raquira": "andina", "bogota-norte": "andina", "tunja": "andina", "chiquinquira": "andina"},
		"memoryMb": memoryMb, "openFiles": openFiles, "linkMbps": 1000.0, "fencing": "servers", "promoter": f.platform.addr,
	}
	if p.role == "control" {
		listen = map[string]string{"operators": f.address(p, f.ports.operators)}
		settings["dataFolder"] = filepath.Join(p.dir, "data")
		settings["memoryMb"], settings["openFiles"] = 280, 4096
	}
	settings["listen"] = listen
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	next := p.settingsPath() + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.settingsPath())
}

func (p *process) settingsPath() string { return filepath.Join(p.dir, "settings.jsonc") }

// start writes the settings and starts the process.
func (f *fleet) start(p *process, first bool) error {
	if err := f.writeSettings(p, first); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(f.binary, p.role, "--metrics-port", strconv.Itoa(f.ports.metrics))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LENTILWIND_BOOT=" + p.settingsPath()}
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	return nil
}

// watch does what the platform does for one process: it kills it when it uses more than its memory, and restarts it when it has ended.
func (f *fleet) watch(p *process) {
	defer f.watchers.Done()
	for {
		p.mu.Lock()
		cmd, exited := p.cmd, p.exited
		p.mu.Unlock()
		killed := false
		select {
		case <-f.closing:
			return
		case <-exited:
		case <-time.After(watchPeriod):
			used := residentMb(cmd.Process.Pid)
			if used <= memoryMb {
				continue
			}
			f.rec.printf("platform: %s uses %d MB of %d and is killed", p.name, used, memoryMb)
			_ = cmd.Process.Kill()
			<-exited
			killed = true
		}
		p.mu.Lock()
		ending := p.ending
		if killed {
			p.kills++
		} else if !ending {
			p.ends++
		}
		p.mu.Unlock()
		if ending {
			return
		}
		if !killed {
			f.rec.printf("%s has ended by itself: %s", p.name, cmd.ProcessState)
		}
		time.Sleep(restartDelay)
		if err := f.start(p, false); err != nil {
			f.rec.printf("%s cannot be restarted: %v", p.name, err)
			return
		}
	}
}

// replaceControl starts an empty control process in the zone of another one, at a new address, and stops the other for good as the platform
// does: SIGTERM, and SIGKILL after graceS. The settings of all processes name other control processes then; none gets a signal for that.
func (f *fleet) replaceControl(p *process) error {
	f.mu.Lock()
	next := f.newProcess("core", "control", p.zone, 1, len(f.controls))
	f.controls = append(f.controls, next)
	f.mu.Unlock()
	if err := f.start(next, false); err != nil {
		return err
	}
	f.watchers.Add(1)
	go f.watch(next)
	f.rec.printf("%s starts empty at a new address", next.name)
	time.Sleep(catchUp + time.Second)
	f.mu.Lock()
	p.gone = true
	f.mu.Unlock()
	p.mu.Lock()
	p.ending = true
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	exited := p.exited
	p.mu.Unlock()
	f.rec.printf("%s gets SIGTERM and leaves", p.name)
	select {
	case <-exited:
	case <-time.After(grace):
		_ = p.cmd.Process.Kill()
		f.rec.printf("%s gets SIGKILL", p.name)
	}
	for _, other := range append(append([]*process(nil), f.controls...), f.entries...) {
		if other.gone {
			continue
		}
		if err := f.writeSettings(other, false); err != nil {
			return err
		}
	}
	f.rec.printf("the settings files name the control processes %s", strings.Join(f.seeds(), ", "))
	return nil
}

// residentMb returns the resident memory of a process.
func residentMb(pid int) int {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes >> 10
		}
	}
	return 0
}

// close ends all processes.
func (f *fleet) close() {
	if f == nil {
		return
	}
	close(f.closing)
	f.watchers.Wait()
	for _, p := range append(append([]*process(nil), f.controls...), f.entries...) {
		p.mu.Lock()
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
		p.mu.Unlock()
	}
	for _, d := range f.group.members {
		d.shutdown()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println(f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// tenantNames and keys: tenant t-N holds key-N.
func tenants(n int) []map[string]any {
	var all []map[string]any
	for i := range n {
		all = append(all, map[string]any{
			"name": fmt.Sprintf("t-%d", i+1), "apiKeys": []string{fmt.Sprintf("key-%d", i+1)}, "priority": 1, "ratePerS": 128, "burst": 128,
		})
	}
	return all
}

// route returns a route of the configuration.
func (f *fleet) route(name, host, kind string, staleness int, open bool) any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": "/", "routeType": kind, "timeoutMs": 2000, "targetLatencyMs": 600, "priority": 1,
		"service": f.group.service, "maxAttempts": 2, "maxStalenessMs": staleness, "authExempt": open,
	}
}

// configure sends a configuration until it is acknowledged.
func (f *fleet) configure(version, tenantCount int, more ...any) error {
	routes := append([]any{
		f.route("r-1", "orders", "primary", 0, false), f.route("r-2", "shelf", "bounded_staleness", 1500, false),
		f.route("r-3", "counts", "read_own_writes", 2500, false),
	}, more...)
	body, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []any{map[string]any{"name": f.group.service, "healthPath": "/health", "maxConns": 23, "protocol": "h1", "tls": false, "syncReplicas": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
		"tenants":  tenants(tenantCount),
	})
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, address := range f.operatorAddresses() {
			request, err := http.NewRequest(http.MethodPut, "http://"+address+"/lentilwind/config", bytes.NewReader(body))
			if err != nil {
				return err
			}
			response, err := client.Do(request)
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				f.rec.printf("operator: version %d is acknowledged", version)
				return nil
			}
		}
	}
	return fmt.Errorf("the configuration is not acknowledged")
}

// awaitReady waits until all entries are ready and serve a request.
func (f *fleet) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	end := time.Now().Add(30 * time.Second)
	for _, p := range f.entries {
		for ready := false; !ready; {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(100 * time.Millisecond)
			response, err := client.Get("http://" + f.address(p, f.ports.ready) + "/lentilwind/ready")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			ready = response.StatusCode == http.StatusOK && f.serves(p)
		}
	}
	f.rec.printf("all entries are ready")
	return nil
}

func (f *fleet) serves(p *process) bool {
	c, err := f.dial(p, "orders", "key-1")
	if err != nil {
		return false
	}
	defer c.close()
	return c.query(newID(), "WRITE ready x").code == ""
}
