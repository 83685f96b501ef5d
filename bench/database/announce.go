package database

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"lentilwind.dev/lentilwind/protocol"
)

const (
	announcePeriod  = time.Second
	announceTimeout = time.Second
)

// announce posts an announcement every announcePeriod until the server stops, starting with another URL each time.
func (r *serverRun) announce() {
	dialer := net.Dialer{LocalAddr: r.localAddress()}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}
	client := &http.Client{Timeout: announceTimeout, Transport: transport}
	for sequence := uint64(1); r.ctx.Err() == nil; sequence++ {
		next := time.After(announcePeriod)
		leaving := r.server.leaving.Load()
		if r.announceOnce(client, sequence, leaving) && leaving {
			r.server.markStopped()
		}
		select {
		case <-r.ctx.Done():
		case <-next:
		}
	}
}

// localAddress returns the source address for connections that the server opens, or nil if it listens on all addresses.
func (r *serverRun) localAddress() net.Addr {
	listen := r.listener.Addr().(*net.TCPAddr)
	if listen.IP.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: listen.IP}
}

// announceOnce tries each URL until one accepts the announcement, and returns whether the server may stop.
func (r *serverRun) announceOnce(client *http.Client, sequence uint64, leaving bool) bool {
	urls := r.server.cfg.Announce
	body, err := json.Marshal(r.buildAnnouncement(sequence, leaving))
	if err != nil {
		panic("database: " + err.Error())
	}
	for i := range urls {
		url := urls[(sequence+uint64(i))%uint64(len(urls))]
		reply, ok := postAnnouncement(r.ctx, client, url, body)
		if ok {
			return reply.MayStop
		}
	}
	return false
}

func (r *serverRun) buildAnnouncement(sequence uint64, leaving bool) protocol.Announcement {
	cfg := &r.server.cfg
	address := cfg.Advertise
	if address == "" {
		address = r.listener.Addr().String()
	}
	return protocol.Announcement{
		Service: cfg.Service, Server: cfg.Server, DataCentre: cfg.DataCentre, Address: address,
		Incarnation: r.incarnation, Sequence: sequence, Leaving: leaving, Slots: r.statuses(),
	}
}

func postAnnouncement(ctx context.Context, client *http.Client, url string, body []byte) (protocol.AnnounceReply, bool) {
	var reply protocol.AnnounceReply
	target := strings.TrimSuffix(url, "/") + "/v1/announcements"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return reply, false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return reply, false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return reply, false
	}
	return reply, json.NewDecoder(response.Body).Decode(&reply) == nil
}
