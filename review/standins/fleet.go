package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// node is one process of the system.
type node struct {
	name, role, zone, ip string
	settings             string
	metricsPort          int
	cmd                  *exec.Cmd
	ended                chan struct{}
}

// fleet is a deployment of the size of the site tresrios-lentil: 8 fronts and 4 core machines in 4 zones.
type fleet struct {
	rec      *recorder
	dir      string
	network  int
	fronts   []*node
	cores    []*node
	promoter string
	// ports are those of front, ready, control, peers and metrics.
	ports   [5]int
	servers []*http.Server
}

var zones = []string{"raquira", "bogota-norte", "tunja", "chiquinquira"}

// frontsPerZone is how many fronts the site has in each zone.
var frontsPerZone = []int{2, 3, 1, 2}

const seedCount = 3

func newFleet(rec *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, network: 20 + rand.IntN(200)}
	for i := range f.ports {
		if f.ports[i], err = freePort(); err != nil {
			return nil, err
		}
	}
	for i, zone := range zones {
		for j := range frontsPerZone[i] {
			f.fronts = append(f.fronts, &node{name: fmt.Sprintf("front-%s-%d", zone, j+1), role: "entry", zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", f.network, i+1, j+11)})
		}
		f.cores = append(f.cores, &node{name: fmt.Sprintf("core-%s-1", zone), role: "control", zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", f.network, i+1, 31)})
	}
	return f, nil
}

func freePort() (int, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

func (n *node) at(port int) string { return net.JoinHostPort(n.ip, strconv.Itoa(port)) }

func (f *fleet) frontAddress(n *node) string { return n.at(f.ports[0]) }

// controlAddresses returns the addresses of the nodes that serve control.
func (f *fleet) controlAddresses() []string {
	var all []string
	for _, n := range f.cores {
		all = append(all, n.at(f.ports[2]))
	}
	return all
}

// find returns the front with a name.
func (f *fleet) find(name string) *node {
	for _, n := range f.fronts {
		if n.name == name {
			return n
		}
	}
	return nil
}

// servePlatform starts the platform's interface for orders to promote.
func (f *fleet) servePlatform(handler http.Handler) error {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.9.1:0", f.network))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	f.servers = append(f.servers, server)
	f.promoter = listener.Addr().String()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// startAll starts all processes as on the first day, with empty disks.
func (f *fleet) startAll() error {
	for _, n := range append(append([]*node(nil), f.cores...), f.fronts...) {
		if err := f.start(n, true); err != nil {
			return err
		}
	}
	return nil
}

// start starts one process with the command of the deploy file and the settings that its template gives.
func (f *fleet) start(n *node, bootstrap bool) error {
	folder := filepath.Join(f.dir, n.name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o755); err != nil {
		return err
	}
	listen := map[string]string{}
	settings := map[string]any{
		"name": n.name, "dataCentre": n.zone, "ip": n.ip, "listen": listen, "peerPorts": []int{f.ports[3], f.ports[3] + 15},
		"controls": f.controlAddresses()[:seedCount], "firstStart": bootstrap, "losses": 1, "announceMs": 1200, "stopSeconds": 6,
		"withdrawalMs": 5000, "fencing": "servers", "promoter": f.promoter,
	}
	if n.role == "entry" {
		listen["callers"], listen["ready"] = n.at(f.ports[0]), n.at(f.ports[1])
	} else {
		listen["operators"] = n.at(f.ports[2])
		settings["dataFolder"] = filepath.Join(folder, "data")
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	n.settings = filepath.Join(folder, "boot.jsonc")
	if err := os.WriteFile(n.settings, text, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command("target/lentil-platform", n.role, "--metrics-port", strconv.Itoa(f.ports[4]))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LENTILWIND_BOOT=" + n.settings}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.cmd, n.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	f.rec.printf("platform: %s started, bootstrap %t", n.name, bootstrap)
	return nil
}

// kill ends a process with SIGKILL.
func (f *fleet) kill(n *node) {
	_ = n.cmd.Process.Kill()
	<-n.ended
	f.rec.printf("platform: %s was killed", n.name)
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, n := range append(append([]*node(nil), f.cores...), f.fronts...) {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println(f.dir)
	}
}

// ready asks the ready address of a front.
func (f *fleet) ready(n *node) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.at(f.ports[1]) + "/lentilwind/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var errNotInTime = errors.New("not in time")

// awaitReady waits until nodes are ready.
func (f *fleet) awaitReady(limit time.Duration, nodes ...*node) error {
	end := time.Now().Add(limit)
	for _, n := range nodes {
		for !f.ready(n) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %w", n.name, errNotInTime)
			}
			time.Sleep(20 * time.Millisecond)
		}
		f.rec.printf("platform: %s is ready", n.name)
	}
	return nil
}

// tenant is a customer in a configuration.
type tenant struct {
	name string
	keys []string
}

// configuration returns a configuration with one route of each kind.
func configuration(version int, service string, tenants []tenant) string {
	route := func(name, host, kind string, timeout, latency, priority, staleness int) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "pathPrefix": "/", "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": latency,
			"priority": priority, "service": service, "maxAttempts": 2, "authExempt": false,
		}
		if staleness > 0 {
			r["maxStalenessMs"] = staleness
		}
		return r
	}
	var list []map[string]any
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t.name, "apiKeys": append([]string{}, t.keys...), "priority": 1, "ratePerS": 128, "burst": 128})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("r-crate", "crate", "primary", 800, 150, 1, 0), route("r-shelf", "shelf", "bounded_staleness", 2000, 500, 2, 1500),
			route("r-restock", "restock", "read_own_writes", 800, 250, 2, 2500),
		},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": maxConnections, "protocol": "h1", "tls": false, "syncReplicas": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
		"tenants":  list,
	})
	return string(body)
}

// configure sends a configuration as the operator does, until it is acknowledged, and returns the time of that.
func (f *fleet) configure(body string, limit time.Duration) (time.Time, error) {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, address := range f.controlAddresses() {
			request, err := http.NewRequest(http.MethodPut, "http://"+address+"/lentilwind/config", strings.NewReader(body))
			if err != nil {
				return time.Time{}, err
			}
			request.Header.Set("Content-Type", "application/json")
			response, err := client.Do(request)
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				f.rec.printf("operator: %s acknowledged %s", address, body)
				return time.Now(), nil
			}
		}
	}
	return time.Time{}, fmt.Errorf("the configuration was not acknowledged: %w", errNotInTime)
}

// call sends a request with a JSON body and returns the status and the body of the response.
func (f *fleet) call(method, url, body string) (int, string, error) {
	client := http.Client{Timeout: 2 * time.Second}
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// lastLine returns the last line that a process has written.
func (f *fleet) lastLine(n *node) string {
	data, _ := os.ReadFile(filepath.Join(f.dir, n.name, "log"))
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}
