package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Times of a server, in the range of the users' site files.
const (
	heartbeatInterval = 1500 * time.Millisecond
	idleClose         = 10 * time.Second
	healthTime        = 25 * time.Millisecond
)

// server is a stand-in of a back end, as PROTOCOL.md describes it.
type server struct {
	id, service, zone string
	slots, queueLimit int
	// workTime is how long a run takes.
	workTime func() time.Duration
	// before, if set, is called when a run begins. It returns false if the connection must be dropped.
	before func(s *server, r *http.Request, body []byte) bool
	// header, if set, adds fields to an answer.
	header func(s *server, h http.Header)
	// refuse, if set, may turn a request away with 503; the value is for Retry-After.
	refuse func(s *server, r *http.Request) (retryAfter string, refused bool)
	// answered, if set, is called with the bytes of each answer to a run, behind which it may send more.
	answered func(s *server, c net.Conn, answer []byte)
	// late, if set, returns bytes that are sent right before the next answer on a connection.
	late func(c net.Conn) []byte
	// lost, if set, reports whether the answer of a run is lost; the connection then stays silent.
	lost func(s *server, r *http.Request) bool
	// arrived, ran and ended, if set, record.
	arrived func(s *server, r *http.Request, from string)
	ran     func(s *server, r *http.Request, body []byte, from string)
	ended   func(s *server, r *http.Request, whole bool)

	// answer, if set, may write the answer of a run itself; it then returns true.
	answer func(s *server, c net.Conn, r *http.Request, h http.Header) bool
	// head, if set, is called with the head of a request. It returns false if the connection must be dropped.
	head func(s *server, r *http.Request) bool

	store *store

	mu       sync.Mutex
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	busy     int
	waiting  int
	freed    chan struct{}
	born     int64
	sequence int
	state    string
	up       bool
	stop     chan struct{}
	// dark, while it is not nil and open, holds up everything: the server answers nothing and takes no connections.
	dark chan struct{}
}

// start starts a process of the server. It keeps its address over restarts.
func (s *server) start(ip string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = net.JoinHostPort(ip, "0")
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address, s.listener = l.Addr().String(), l
	s.conns, s.busy, s.waiting, s.freed = make(map[net.Conn]bool), 0, 0, make(chan struct{}, 1)
	s.born, s.sequence, s.state, s.up, s.stop = time.Now().UnixMilli(), 0, "ready", true, make(chan struct{})
	go s.accept(l)
	go s.beat(s.stop)
	return nil
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.awaitLight()
		s.mu.Lock()
		if s.listener != l {
			s.mu.Unlock()
			_ = c.Close()
			return
		}
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c, l)
	}
}

// beat registers the server and renews the registration.
func (s *server) beat(stop chan struct{}) {
	for {
		s.register()
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (s *server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	s.sequence++
	s.store.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "coldLeftS": 0, "seqNo": s.sequence, "born": s.born,
	})
}

// drain reports that the server leaves.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.register()
}

// awaitLight waits while the server is dark.
func (s *server) awaitLight() {
	s.mu.Lock()
	dark := s.dark
	s.mu.Unlock()
	if dark != nil {
		<-dark
	}
}

// darken crashes the server so that it falls silent, and starts it again after a time.
func (s *server) darken(ip string, lasts time.Duration, failed func(error)) {
	s.mu.Lock()
	dark := make(chan struct{})
	s.dark = dark
	close(s.stop)
	s.stop = make(chan struct{})
	s.mu.Unlock()
	time.AfterFunc(lasts, func() {
		s.crash()
		s.mu.Lock()
		s.dark = nil
		s.mu.Unlock()
		close(dark)
		if err := s.start(ip); err != nil {
			failed(err)
		}
	})
}

// crash ends the process: connections are reset, nothing is reported.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	s.up = false
	close(s.stop)
	_ = s.listener.Close()
	s.listener = nil
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (s *server) serve(c net.Conn, l net.Listener) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleClose))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		s.awaitLight()
		if s.head != nil && !s.head(s, req) {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !s.handle(c, req, body) {
			return
		}
	}
}

// handle answers a request. It returns false if the connection must end.
func (s *server) handle(c net.Conn, r *http.Request, body []byte) bool {
	h := make(http.Header)
	if s.late != nil {
		if b := s.late(c); b != nil {
			if _, err := c.Write(b); err != nil {
				return false
			}
		}
	}
	if r.URL.Path == "/health" {
		time.Sleep(healthTime)
		if s.header != nil {
			s.header(s, h)
		}
		h.Set("X-Instance-Id", s.id)
		return s.write(c, r, http.StatusOK, h, nil) == nil
	}
	id := r.Header.Get("X-Request-Id")
	if s.arrived != nil {
		s.arrived(s, r, c.RemoteAddr().String())
	}
	if s.header != nil {
		s.header(s, h)
	}
	notExecuted := func(status int) bool {
		h.Set("X-Not-Executed", "1")
		return s.write(c, r, status, h, nil) == nil
	}
	switch expected := r.Header.Get("X-Expect-Instance"); {
	case id == "":
		return notExecuted(http.StatusBadRequest)
	case expected != "" && expected != s.id:
		h.Set("X-Instance-Id", s.id)
		return s.write(c, r, http.StatusMisdirectedRequest, h, nil) == nil
	}
	if s.refuse != nil {
		if after, refused := s.refuse(s, r); refused {
			if after != "" {
				h.Set("Retry-After", after)
			}
			return notExecuted(http.StatusServiceUnavailable)
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if !s.takeSlot(deadline) {
		return notExecuted(http.StatusServiceUnavailable)
	}
	defer s.freeSlot()
	if s.ran != nil {
		s.ran(s, r, body, c.RemoteAddr().String())
	}
	if s.before != nil && !s.before(s, r, body) {
		return false
	}
	if s.answer != nil && s.answer(s, c, r, h) {
		return true
	}
	if !s.work(deadline) {
		if s.ended != nil {
			s.ended(s, r, false)
		}
		return s.write(c, r, http.StatusGatewayTimeout, stamped(h, s, id), nil) == nil
	}
	if s.ended != nil {
		s.ended(s, r, true)
	}
	if s.lost != nil && s.lost(s, r) {
		// The answer is lost: the connection returns nothing further.
		_, _ = io.Copy(io.Discard, c)
		return false
	}
	answer := fmt.Appendf(nil, "answer of %s to %s\n", s.id, id)
	var b bytes.Buffer
	writeAnswer(&b, id, http.StatusOK, stamped(h, s, id), answer)
	if _, err := c.Write(b.Bytes()); err != nil {
		return false
	}
	if s.answered != nil {
		s.answered(s, c, b.Bytes())
	}
	return true
}

func stamped(h http.Header, s *server, id string) http.Header {
	h.Set("X-Server-Stamp", "stamp."+s.id+"."+id)
	return h
}

// work runs a request. It returns false if the deadline passes.
func (s *server) work(deadline time.Time) bool {
	t := s.workTime()
	if left := time.Until(deadline); left < t {
		time.Sleep(max(0, left))
		return false
	}
	time.Sleep(t)
	return true
}

// takeSlot waits for a slot. It returns false if the server is full or the deadline passes.
func (s *server) takeSlot(deadline time.Time) bool {
	s.mu.Lock()
	if s.busy < s.slots {
		s.busy++
		s.mu.Unlock()
		return true
	}
	if s.waiting >= s.queueLimit {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	for {
		time.Sleep(time.Millisecond)
		s.mu.Lock()
		switch {
		case s.busy < s.slots:
			s.busy++
			s.waiting--
			s.mu.Unlock()
			return true
		case time.Now().After(deadline) || !s.up:
			s.waiting--
			s.mu.Unlock()
			return false
		}
		s.mu.Unlock()
	}
}

func (s *server) freeSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

func (s *server) write(c net.Conn, r *http.Request, status int, h http.Header, body []byte) error {
	var b bytes.Buffer
	writeAnswer(&b, r.Header.Get("X-Request-Id"), status, h, body)
	_, err := c.Write(b.Bytes())
	return err
}

func writeAnswer(b *bytes.Buffer, id string, status int, h http.Header, body []byte) {
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(b, "X-Request-Id: %s\r\n", id)
	}
	_ = h.Write(b)
	fmt.Fprintf(b, "Keep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n", int(idleClose.Seconds()), len(body))
	b.Write(body)
}

// around returns a work time around a mean.
func around(mean time.Duration) func() time.Duration {
	return func() time.Duration { return time.Duration((0.7 + 0.6*rand.Float64()) * float64(mean)) }
}
