package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["early-answer"] = earlyAnswer }

// serveEarly answers a request once the first part of its body is in, and reads the rest afterwards.
func (s *server) serveEarly(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	first := make([]byte, 8<<10)
	n, err := io.ReadFull(r.Body, first)
	if err != nil {
		s.rec.add(event{Who: s.id, What: "body ended early", ID: id, Note: err.Error()})
		panic(http.ErrAbortHandler)
	}
	answer := []byte(strings.Repeat("accepted "+id+"\n", 300))
	w.Header().Set("X-Server-Stamp", s.stamp(answer))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(answer)
	_ = control.Flush()
	s.rec.add(event{Who: s.id, What: "answered early", ID: id, Status: http.StatusOK})
	rest, err := io.ReadAll(r.Body)
	body := append(first[:n], rest...)
	note := fmt.Sprintf("%d bytes", len(body))
	if err != nil {
		note += ", " + err.Error()
	}
	sum := sha256.Sum256(body)
	want := uploadBody(id, len(body))
	for i := range body {
		if body[i] != want[i] {
			note += fmt.Sprintf("; byte %d is not the one that the client sent: %q in place of %q", i, body[i:min(i+27, len(body))], want[i:min(i+27, len(body))])
			what := "whole body, other bytes"
			if err != nil {
				what = "cut body, other bytes"
			}
			s.rec.add(event{Who: s.id, What: what, ID: id, Note: note})
			break
		}
	}
	s.rec.add(event{Who: s.id, What: "body read", ID: id, Note: note + " sha256 " + hex.EncodeToString(sum[:8])})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// earlyAnswer: servers answer some long uploads before they are in, and read on.
func earlyAnswer(r *rig) (bool, error) {
	putConfig(r.store, 1, []string{files}, []route{{host, "r-files", "/files/", "upload", files, 3, 2}})
	r.addServers(files, 6, 40*time.Millisecond)
	// The dose of garble on the small site: 0.6 of the servers, 0.03 of their answers, for 5 s.
	garbled := r.windows(3*time.Second, 5*time.Second, 3*time.Second)
	for i, s := range r.servers {
		if i < 3 {
			s.early = func() bool { return garbled() && rand.Float64() < 0.03 }
		}
	}
	if err := r.startFleet(6); err != nil {
		return false, err
	}
	c := newClient(r.rec, r.fleet, host, zones[0])
	traffic(11, 66*time.Second, func(int) {
		address, err := c.resolve()
		if err != nil {
			return
		}
		id := newID()
		c.sendChunked(address, id, "/files/survey", uploadBody(id, 240_000), 30, 20*time.Millisecond, 3*time.Second)
	})
	early := r.rec.count(func(e event) bool { return e.What == "answered early" })
	whole := r.rec.count(func(e event) bool { return e.What == "whole body, other bytes" })
	other := whole + r.rec.count(func(e event) bool { return e.What == "cut body, other bytes" })
	return r.verdict("UNASKED", other > 0, "%d of %d uploads that were answered early went on with other bytes than the client sent; %d of them ended like whole bodies", other, early, whole), nil
}
