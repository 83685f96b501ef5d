package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine; each machine has a loopback address of its own.
const (
	callerPort   = 8465
	readyPort    = 8460
	operatorPort = 8462
	databasePort = 8080
	platformPort = 8466
	firstPeer    = 7560
	lastPeer     = 7575
	metricsPort  = 9464
)

// network hands out loopback addresses on which none of the ports is in use.
type network struct{ prefix string }

func newNetwork() (network, error) {
	for attempt := range 200 {
		n := network{prefix: fmt.Sprintf("127.%d.%d.", 20+(os.Getpid()+attempt*7)%200, 1+(os.Getpid()/200+attempt)%250)}
		if n.free() {
			return n, nil
		}
	}
	return network{}, fmt.Errorf("no free loopback addresses")
}

func (n network) ip(host int) string { return fmt.Sprintf("%s%d", n.prefix, host) }

func (n network) free() bool {
	for host := 1; host <= 24; host++ {
		for _, port := range []int{callerPort, readyPort, operatorPort, databasePort, platformPort, firstPeer, metricsPort} {
			l, err := net.Listen("tcp", address(n.ip(host), port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// process is one process of the system.
type process struct {
	name, role, ip, zone string
	settingsPath         string
	logPath              string
	data                 string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// fleet holds the processes of a small deployment: four control processes and some entries, in four zones.
type fleet struct {
	net      network
	dir      string
	record   *record
	controls []*process
	entries  []*process
	platform string
}

var zones = []string{"raquira", "bogota-norte", "tunja", "chiquinquira"}

func newFleet(n network, dir string, rec *record, entries int) *fleet {
	f := &fleet{net: n, dir: dir, record: rec, platform: address(n.ip(20), platformPort)}
	for i := range 4 {
		f.controls = append(f.controls, f.newProcess("core-"+zones[i]+"-1", "control", n.ip(1+i), zones[i]))
	}
	for i := range entries {
		f.entries = append(f.entries, f.newProcess(fmt.Sprintf("front-%s-%d", zones[i%4], 1+i/4), "entry", n.ip(6+i), zones[i%4]))
	}
	return f
}

func (f *fleet) newProcess(name, role, ip, zone string) *process {
	p := &process{
		name: name, role: role, ip: ip, zone: zone, settingsPath: filepath.Join(f.dir, name+".jsonc"),
		logPath: filepath.Join(f.dir, name+".log"),
	}
	if role == "control" {
		p.data = filepath.Join(f.dir, name)
	}
	return p
}

// writeSettings writes what the platform would make of deploy/settings.jsonc for this process.
func (f *fleet) writeSettings(p *process, firstStart bool) error {
	listen := map[string]string{}
	if p.role == "entry" {
		listen["callers"], listen["ready"] = address(p.ip, callerPort), address(p.ip, readyPort)
	} else {
		listen["operators"] = address(p.ip, operatorPort)
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "andina"
	}
	var seeds []string
	for _, c := range f.controls[:3] {
		seeds = append(seeds, address(c.ip, operatorPort))
	}
	s := map[string]any{
		"name": p.name, "dataCentre": p.zone, "ip": p.ip, "listen": listen, "peerPorts": []int{firstPeer, lastPeer}, "controls": seeds,
		"firstStart": firstStart, "losses": 1, "announceMs": 1200, "stopSeconds": 6, "drainMs": 7000, "withdrawalMs": 5000, "regions": regions,
		"linkMbps": 1000, "fencing": "servers", "promoter": f.platform,
	}
	if p.role == "control" {
		s["dataFolder"], s["memoryMb"], s["openFiles"] = p.data, 280, 4096
	} else {
		s["memoryMb"], s["openFiles"] = 284, 4200
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.settingsPath, data, 0o600)
}

// start starts all processes for the first time.
func (f *fleet) start() error {
	for _, p := range append(append([]*process{}, f.controls...), f.entries...) {
		if p.data != "" {
			if err := os.MkdirAll(p.data, 0o700); err != nil {
				return err
			}
		}
		if err := f.writeSettings(p, true); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	// From now on a restart is not the first start.
	time.Sleep(time.Second)
	for _, p := range append(append([]*process{}, f.controls...), f.entries...) {
		if err := f.writeSettings(p, false); err != nil {
			return err
		}
	}
	return nil
}

// start runs the command of the deploy file for the role.
func (p *process) start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/lentil-platform", p.role, "--metrics-port", fmt.Sprint(metricsPort))
	cmd.Env = append(os.Environ(), "LENTILWIND_BOOT="+p.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with this one, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	go cmd.Wait()
	return nil
}

func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(s)
}

// stopAll ends all processes.
func (f *fleet) stopAll() {
	for _, p := range append(append([]*process{}, f.controls...), f.entries...) {
		p.mu.Lock()
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
	}
}
