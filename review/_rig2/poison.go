package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["poison"] = func(d *deployment, trouble bool) (bool, string, error) {
		return poison(d, poisonCase{crashes: true, restarts: trouble, lasts: 104 * time.Second})
	}
	scenarios["darkpoison"] = func(d *deployment, trouble bool) (bool, string, error) {
		return poison(d, poisonCase{crashes: trouble, dark: true, lasts: 90 * time.Second})
	}
}

// poisonCase says whether the request crashes the servers, whether they fall silent then, and whether a machine is restarted.
type poisonCase struct {
	crashes, dark, restarts bool
	lasts                   time.Duration
}

// span is a time in which a machine was stopped or started; it is out of touch until settleWindowS after it.
type span struct{ from, to time.Time }

// poison: a request that crashes the servers that run it comes again and again.
func poison(d *deployment, k poisonCase) (bool, string, error) {
	const (
		host, prefix = "hulo84.example", "/xapu221/ny95/"
		servers      = 10
		period       = 5 * time.Second
		backAfter    = 3 * time.Second
		// darkFor is how long a server is down that falls silent.
		darkFor    = 4500 * time.Millisecond
		poisonBody = "volume=unreadable"
	)
	settle := time.Duration(bounds["settleWindowS"] * float64(time.Second))
	d.store.put("op/config", config(4, []route{{Host: host, Prefix: prefix, Kind: "unsafe", Service: "wuno96b", TimeoutS: 3, MaxAttempts: 2, Priority: 1}}, []string{"wuno96b"}))
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	cut := 0
	running := map[string]int{}
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-7f3a91%02x", i), service: "wuno96b", zone: "za", slots: 4, queueLimit: 16, workTime: around(320 * time.Millisecond)}
		s.arrived = func(s *server, r *http.Request, _ string) {
			if strings.HasPrefix(r.URL.Path, prefix+"poison") {
				mu.Lock()
				defer mu.Unlock()
				arrivals = append(arrivals, time.Now())
				d.record.line("arrival %d of the request that crashes servers, at %s", len(arrivals), s.id)
			}
		}
		s.ran = func(s *server, _ *http.Request, _ []byte, _ string) {
			mu.Lock()
			defer mu.Unlock()
			running[s.id]++
		}
		s.ended = func(s *server, _ *http.Request, _ bool) {
			mu.Lock()
			defer mu.Unlock()
			running[s.id] = max(0, running[s.id]-1)
		}
		s.before = func(s *server, _ *http.Request, body []byte) bool {
			if string(body) != poisonBody || !k.crashes {
				return true
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			d.record.line("crash %d: %s, with %d other requests at work", len(crashes), s.id, running[s.id]-1)
			cut += running[s.id] - 1
			running[s.id] = 0
			mu.Unlock()
			if k.dark {
				s.darken("127.0.0.1", darkFor, func(err error) { d.record.line("%v", err) })
				s.awaitLight()
				return false
			}
			s.crash()
			time.AfterFunc(backAfter, func() {
				if err := s.start("127.0.0.1"); err != nil {
					d.record.line("%s can't start again: %v", s.id, err)
				}
			})
			return false
		}
		d.servers = append(d.servers, s)
	}
	if err := deploy(d, 3, []string{"za", "zb", "zc"}, "127.0.0.1"); err != nil {
		return false, "", err
	}
	if err := d.await(10*time.Second, func() bool { return d.owner(host) != nil }, "the directories name one machine"); err != nil {
		return false, "", err
	}
	time.Sleep(5 * time.Second)
	end := time.Now().Add(k.lasts - 6*time.Second)
	var clients sync.WaitGroup
	served, lost := 0, 0
	var out []span
	request := func(n, i int, path, body string) string {
		var fronts []string
		for _, m := range d.machines {
			if !m.exited() {
				if fronts = m.resolve(host, "za"); len(fronts) > 0 {
					break
				}
			}
		}
		if len(fronts) == 0 {
			return "no address"
		}
		c, err := dial(fronts[rand.IntN(len(fronts))])
		if err != nil {
			return "no connection"
		}
		defer c.Close()
		if err := c.send(http.MethodPost, host, path, fmt.Sprintf("X-Request-Id: %08x%08x\r\nX-Deadline-Ms: 3000\r\n", n, i), body); err != nil {
			return "not sent"
		}
		a, err := c.receive(http.MethodPost, 4*time.Second)
		if err != nil {
			return "no answer"
		}
		return fmt.Sprint(a.status)
	}
	for n := range 24 {
		clients.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				r := request(n+1, i, prefix+"notice", "volume=12")
				mu.Lock()
				if r == "200" {
					served++
				} else {
					lost++
				}
				mu.Unlock()
				time.Sleep(time.Duration(200+rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	clients.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			d.record.line("the request that crashes servers was sent: %s", request(0, i, prefix+"poison", poisonBody))
			time.Sleep(period)
		}
	})
	time.Sleep(14 * time.Second)
	for k.restarts && time.Until(end) > 16*time.Second {
		m := d.owner(host)
		if m == nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		s := span{from: time.Now()}
		d.record.line("SIGTERM of %s, which the directories name (roll_term)", m.name)
		m.terminate()
		if err := d.restart(m); err != nil {
			return false, "", err
		}
		s.to = time.Now()
		mu.Lock()
		out = append(out, s)
		mu.Unlock()
		d.record.line("%s starts again", m.name)
		time.Sleep(14 * time.Second)
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	d.record.line("other requests: %d served, %d not; %d were at work on servers that crashed", served, lost, cut)
	if len(crashes) < 3 {
		return false, fmt.Sprintf("%d servers crashed", len(crashes)), nil
	}
	late := 0
	for _, a := range arrivals {
		inTouch := true
		for _, s := range out {
			// Counted only if no machine at all was stopped or started in the settleWindowS before.
			inTouch = inTouch && (a.Before(s.from) || a.After(s.to.Add(settle)))
		}
		if a.After(crashes[2].Add(settle)) && inTouch {
			late++
		}
	}
	return late > 3, fmt.Sprintf("%d servers crashed; %d retries reached servers later than settleWindowS after the third crash, with all machines in touch (at most 3 are allowed)", len(crashes), late), nil
}
