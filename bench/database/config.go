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

// Config holds the settings of one simulated backend server.
type Config struct {
	Service    group.Service        `json:"service"`
	Server     group.Server         `json:"server"`
	DataCentre inventory.DataCentre `json:"dataCentre"`
	// Listen is the IP and port for clients and replicas; port 0 selects a free one.
	Listen string `json:"listen"`
	// Advertise is the address to announce if it differs from Listen.
	Advertise string `json:"advertise,omitempty"`
	Slots     int    `json:"slots"`
	// Connections limits the client connections; those for monitoring, reading and replication are not counted.
	Connections    int            `json:"connections"`
	ConnectTime    jsonc.Duration `json:"connectTime,omitempty"`
	StatementDelay jsonc.Duration `json:"statementDelay,omitempty"`
	// ReceiveDelay delays received records before they become durable on a replica.
	ReceiveDelay jsonc.Duration `json:"receiveDelay,omitempty"`
	// ApplyDelay delays received records before reads on a replica see them.
	ApplyDelay  jsonc.Duration `json:"applyDelay,omitempty"`
	LockTimeout jsonc.Duration `json:"lockTimeout,omitempty"`
	// LinkTimeout is how long a replica waits for data from a silent primary before it reconnects.
	LinkTimeout jsonc.Duration `json:"linkTimeout,omitempty"`
	// DataFolder holds the write-ahead log; if empty, the log is kept in memory and survives Crash and Restart.
	DataFolder string `json:"dataFolder,omitempty"`
	// Announce lists the base URLs to which announcements are posted in turn.
	Announce []string `json:"announce,omitempty"`
	// ControlListen is the IP and port of the HTTP interface for fault injection; if empty, there is none.
	ControlListen string `json:"controlListen,omitempty"`
	// RecordFile is a file to which every observation is appended as a JSON line.
	RecordFile string `json:"recordFile,omitempty"`
	// ReceivedFolder is a folder in which the received bytes of each connection are written to a file.
	ReceivedFolder string `json:"receivedFolder,omitempty"`
	// ForgetRecord disables keeping observations and received bytes in memory.
	ForgetRecord bool `json:"forgetRecord,omitempty"`
	// Watch lists texts that no connection should send; each occurrence is recorded as an observation.
	Watch []string `json:"watch,omitempty"`
	// Primaries names the primary of each slot in the first term; the other servers follow it.
	Primaries []group.Server `json:"primaries"`
	// Peers has the address of each server of the service.
	Peers map[group.Server]string `json:"peers"`

	// listener, if set, is used at the first start instead of a new one on Listen.
	listener net.Listener
}

// Default values of settings.
const (
	DefaultSlots       = 3
	DefaultConnections = 20
	DefaultLockTimeout = 2 * time.Second
	DefaultLinkTimeout = time.Second
)

// ApplyDefaults sets every missing setting to its default.
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

// Check returns all problems of the settings.
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
		problems = append(problems, jsonc.Problem{Pointer: "", Message: "slots and connections must not be negative"})
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
			Message: fmt.Sprintf("%q is not among the peers", primary),
			Remedy:  "add its address to peers",
		})
	}
	return problems
}
