package main

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is how often a server writes to the store.
const heartbeatInterval = 1500 * time.Millisecond

// server is one server of a service.
type server struct {
	rec     *record
	store   *store
	id      string
	service string
	zone    string
	address string
	slots   chan struct{}
	queued  atomic.Int64
	work    time.Duration
	born    int64
	http    *http.Server

	// fault may answer a request in place of the server, after it has run it. It reports whether it did.
	fault func(w http.ResponseWriter, r *http.Request) bool

	// early says whether the server answers a request before it has read its body.
	early func() bool
	// begins is called when the server begins to run a request.
	begins func(r *http.Request)
	// header is in every answer.
	header map[string]string

	mu       sync.Mutex
	seq      int
	state    string
	stopBeat chan struct{}
}

// slotsPerServer and queuePerServer are those of the small deployment.
const (
	slotsPerServer = 4
	queuePerServer = 16
)

func startServer(rec *record, st *store, id, service, zone string, work time.Duration) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &server{
		rec: rec, store: st, id: id, service: service, zone: zone, address: l.Addr().String(),
		slots: make(chan struct{}, slotsPerServer), work: work, born: time.Now().UnixMilli(), state: "ready", stopBeat: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	s.beat()
	go func() {
		for {
			select {
			case <-time.After(heartbeatInterval):
				s.beat()
			case <-s.stopBeat:
				return
			}
		}
	}()
	return s
}

// beat writes the server's entry to the store.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	s.store.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": slotsPerServer,
		"state": s.state, "coldLeftS": 0, "seqNo": s.seq, "born": s.born,
	})
}

// stamp is the server's signature of a body.
func (s *server) stamp(body []byte) string {
	return fmt.Sprintf("%s.%08x", s.id, crc32.ChecksumIEEE(body))
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	for name, value := range s.header {
		w.Header().Set(name, value)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if s.queued.Add(1) > slotsPerServer+queuePerServer {
		s.queued.Add(-1)
		s.notExecuted(w, http.StatusServiceUnavailable)
		return
	}
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.notExecuted(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.rec.add(event{Who: s.id, What: "run", ID: r.Header.Get("X-Request-Id"), Method: r.Method, Path: r.RequestURI, Note: s.service})
	if s.begins != nil {
		s.begins(r)
	}
	if s.early != nil && s.early() {
		s.serveEarly(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.rec.add(event{Who: s.id, What: "body ended early", ID: r.Header.Get("X-Request-Id")})
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(time.Duration(float64(s.work) * (0.5 + rand.Float64()))):
	case <-ctx.Done():
		w.Header().Set("X-Server-Stamp", s.stamp(nil))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if s.fault != nil && s.fault(w, r) {
		return
	}
	answer := []byte(fmt.Sprintf("%s ran %s %s with %d bytes, request %s\n", s.id, r.Method, r.RequestURI, len(body), r.Header.Get("X-Request-Id")))
	w.Header().Set("X-Server-Stamp", s.stamp(answer))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// notExecuted answers a request that was not run.
func (s *server) notExecuted(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}
