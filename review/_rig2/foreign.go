package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["foreign"] = foreign }

// foreign: some servers send a second copy of an answer late (garble: extra late), and a client that the operators don't
// control sends requests without X-Request-Id.
func foreign(d *deployment, trouble bool) (bool, string, error) {
	const (
		host, prefix = "jepu9.example", "/lepu270/"
		servers      = 6
		share, part  = 0.6, 0.03
		// The disruption lasts 5 s, and comes again after a pause.
		spell, rest = 5 * time.Second, 3 * time.Second
		lasts       = 40 * time.Second
	)
	started := time.Now()
	disturbed := func() bool { return time.Since(started)%(spell+rest) < spell }
	d.store.put("op/config", config(4, []route{{Host: host, Prefix: prefix, Kind: "safe", Service: "huvo11a", TimeoutS: 2.5, MaxAttempts: 2, Priority: 2}}, []string{"huvo11a"}))
	var extras atomic.Int64
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-7f3a91%02x", i), service: "huvo11a", zone: "za", slots: 4, queueLimit: 16, workTime: around(40 * time.Millisecond)}
		if trouble && float64(i) < share*servers {
			var mu sync.Mutex
			pending := make(map[net.Conn][]byte)
			s.answered = func(_ *server, c net.Conn, answer []byte) {
				if disturbed() && rand.Float64() < part {
					mu.Lock()
					defer mu.Unlock()
					pending[c] = append([]byte(nil), answer...)
				}
			}
			// "An extra response may arrive late, at the point where the next response is expected."
			s.late = func(c net.Conn) []byte {
				mu.Lock()
				defer mu.Unlock()
				b := pending[c]
				if b != nil {
					delete(pending, c)
					extras.Add(1)
				}
				return b
			}
		}
		d.servers = append(d.servers, s)
	}
	if err := deploy(d, 3, []string{"za", "zb", "zc"}, "127.0.0.1"); err != nil {
		return false, "", err
	}
	if err := d.await(10*time.Second, func() bool { return d.owner(host) != nil }, "the directories name one machine"); err != nil {
		return false, "", err
	}
	owner := d.owner(host)
	var mu sync.Mutex
	got := map[string]int{}
	foreignAnswers := 0
	var clients sync.WaitGroup
	end := time.Now().Add(lasts)
	oneClient := func(n int, withID bool, pause time.Duration) {
		var c *client
		for i := 0; time.Now().Before(end); i++ {
			time.Sleep(time.Duration(float64(pause) * (0.5 + rand.Float64())))
			var err error
			if c == nil {
				if c, err = dial(owner.address("front")); err != nil {
					c = nil
					continue
				}
			}
			id, kind := fmt.Sprintf("%04x%04x", n, i), "with id"
			fields := "X-Deadline-Ms: 2500\r\n"
			if withID {
				fields += "X-Request-Id: " + id + "\r\n"
			} else {
				kind = "without id"
			}
			if c.send(http.MethodGet, host, prefix+id, fields, "") != nil {
				_ = c.Close()
				c = nil
				continue
			}
			a, err := c.receive(http.MethodGet, 4*time.Second)
			mu.Lock()
			if err != nil {
				got[kind+": no answer"]++
			} else {
				got[fmt.Sprintf("%s: %d", kind, a.status)]++
				echoed := a.header.Get("X-Request-Id")
				other := withID && echoed != "" && echoed != id || !withID && echoed != ""
				other = other || a.status/100 == 2 && !strings.HasSuffix(string(a.body), " to "+id+"\n")
				if other {
					foreignAnswers++
					d.record.line("FOREIGN: the client of %s (%s) got %d, X-Request-Id %q, stamp %q, body %q", prefix+id, kind, a.status, echoed, a.header.Get("X-Server-Stamp"), a.body)
				}
			}
			mu.Unlock()
			if err != nil || a.close {
				_ = c.Close()
				c = nil
			}
		}
	}
	for n := range 20 {
		clients.Go(func() { oneClient(n, true, 150*time.Millisecond) })
	}
	for n := range 4 {
		clients.Go(func() { oneClient(0x100+n, false, 60*time.Millisecond) })
	}
	clients.Wait()
	for k, n := range got {
		d.record.line("%s: %d", k, n)
	}
	d.record.line("second copies of answers sent late: %d", extras.Load())
	return foreignAnswers > 0, fmt.Sprintf("%d answers went to a client that had not asked for them", foreignAnswers), nil
}
