package database

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"lentilwind.dev/instance/settings"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

// Config is the settings of one stand-in database.
type Config struct {
	Service    group.Service        `json:"service"`
	Server     group.Server         `json:"server"`
	DataCentre inventory.DataCentre `json:"dataCentre"`
	// Listen is the IP and port for callers and replicas; port 0 takes a free one.
	Listen string `json:"listen"`
	// Advertise is the address to announce when it is not Listen.
	Advertise string `json:"advertise,omitempty"`
	Slots     int    `json:"slots"`
	// Connections bounds the connections beside those for monitoring and replication.
	Connections    int            `json:"connections"`
	ConnectTime    jsonc.Duration `json:"connectTime,omitempty"`
	StatementDelay jsonc.Duration `json:"statementDelay,omitempty"`
	// ReceiveDelay holds records back before they are durable on a replica.
	ReceiveDelay jsonc.Duration `json:"receiveDelay,omitempty"`
	// ApplyDelay holds records back before reads on a replica see them.
	ApplyDelay  jsonc.Duration `json:"applyDelay,omitempty"`
	LockTimeout jsonc.Duration `json:"lockTimeout,omitempty"`
	// LinkTimeout is how long a replica waits on a silent primary.
	LinkTimeout jsonc.Duration `json:"linkTimeout,omitempty"`
	// DataFolder holds the state; an empty one keeps it in memory over Crash and Restart.
	DataFolder string `json:"dataFolder,omitempty"`
	// Announce lists base URLs that take announcements in turn.
	Announce []string `json:"announce,omitempty"`
	// ControlListen is the IP and port of the HTTP interface for faults; an empty one opens none.
	ControlListen string `json:"controlListen,omitempty"`
	// RecordFile gets every observation as a JSON line.
	RecordFile string `json:"recordFile,omitempty"`
	// ReceivedFolder gets a file of received bytes for each connection.
	ReceivedFolder string `json:"receivedFolder,omitempty"`
	// ForgetRecord keeps neither observations nor received bytes in memory.
	ForgetRecord bool `json:"forgetRecord,omitempty"`
	// Watch lists texts that no connection should send; each one found is recorded.
	Watch []string `json:"watch,omitempty"`
	// Primaries names the primary of each slot in the first term; the others follow it.
	Primaries []group.Server `json:"primaries"`
	// Peers has the address of each server of the service.
	Peers map[group.Server]string `json:"peers"`

	// listener is used at the first start instead of Listen.
	listener net.Listener
}

// The values of settings that were left out.
const (
	DefaultSlots       = 3
	DefaultConnections = 20
	DefaultLockTimeout = 2 * time.Second
	DefaultLinkTimeout = time.Second
)

// ApplyDefaults fills what was left out.
func (c *Config) ApplyDefaults() {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Connections == 0 {
		c.Connections = DefaultConnections
	}
	if c.LockTimeout == 0 {
		c.LockTimeout = jsonc.Duration(DefaultLockTimeout)
	}
	if c.LinkTimeout == 0 {
		c.LinkTimeout = jsonc.Duration(DefaultLinkTimeout)
	}
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	for len(c.Primaries) < c.Slots {
		c.Primaries = append(c.Primaries, c.Server)
	}
}

// Check returns every problem.
func (c *Config) Check() []jsonc.Problem {
	problems := slices.Concat(
		settings.CheckRequired("/service", string(c.Service), "name the service"),
		settings.CheckRequired("/server", string(c.Server), "name the server"),
		settings.CheckAddress("/listen", c.Listen),
	)
	if c.Advertise != "" {
		problems = append(problems, settings.CheckAddress("/advertise", c.Advertise)...)
	}
	if c.ControlListen != "" {
		problems = append(problems, settings.CheckAddress("/controlListen", c.ControlListen)...)
	}
	if c.Slots < 0 || c.Connections < 0 {
		problems = append(problems, jsonc.Problem{Pointer: "", Message: "slots and connections are counts"})
	}
	return append(problems, c.checkPrimaries()...)
}

func (c *Config) checkPrimaries() []jsonc.Problem {
	var problems []jsonc.Problem
	for i, primary := range c.Primaries {
		if primary == c.Server || c.Peers[primary] != "" {
			continue
		}
		problems = append(problems, jsonc.Problem{
			Pointer: "/primaries/" + strconv.Itoa(i),
			Message: fmt.Sprintf("%q stands not among the peers", primary),
			Remedy:  "give its address in peers",
		})
	}
	return problems
}
