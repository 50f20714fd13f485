package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["poison"] = poisonCrashes }

// crash ends the server: its connections are reset, and nothing listens at its address.
func (s *server) crash() {
	s.rec.add(event{Who: s.id, What: "crashed"})
	close(s.stopBeat)
	_ = s.http.Close()
}

// poisonCrashes: a request crashes each server that begins to run it, and comes again every half second.
func poisonCrashes(r *rig) (bool, error) {
	return playPoison(r, func(c *client, address, id string, body []byte) {
		c.sendChunked(address, id, "/files/poison", body, 2, 30*time.Millisecond, 3*time.Second)
	})
}

func playPoison(r *rig, sendPoison func(c *client, address, id string, body []byte)) (bool, error) {
	putConfig(r.store, 1, []string{files}, []route{{host, "r-files", "/files/", "upload", files, 3, 2}})
	var mu sync.Mutex
	starts := 0
	var start func(n int)
	arrive := func(s *server, n int) func(*http.Request) {
		return func(q *http.Request) {
			if q.URL.Path != "/files/poison" || !r.trouble {
				return
			}
			r.rec.add(event{Who: s.id, What: "poison begins", ID: q.Header.Get("X-Request-Id")})
			s.crash()
			// The server is back after some seconds, as a new incarnation.
			time.AfterFunc(4500*time.Millisecond, func() { start(n) })
		}
	}
	start = func(n int) {
		mu.Lock()
		defer mu.Unlock()
		starts++
		id := "i-files-" + newID()[:8]
		s := startServer(r.rec, r.store, id, files, zones[n%len(zones)], 60*time.Millisecond)
		s.begins = arrive(s, n)
		r.servers = append(r.servers, s)
	}
	for n := range 6 {
		start(n)
	}
	if err := r.startFleet(6); err != nil {
		return false, err
	}
	c := newClient(r.rec, r.fleet, host, zones[0])
	go traffic(20, 25*time.Second, func(int) {
		c.send(http.MethodPost, "/files/survey", uploadBody("x", 6000), 3*time.Second)
	})
	time.Sleep(2 * time.Second)
	body := uploadBody("poison", 6000)
	traffic(2, 25*time.Second, func(int) {
		if address, err := c.resolve(); err == nil {
			sendPoison(c, address, newID(), body)
		}
	})
	const settleWindow, allowed = 3.0, 3
	crashes, late := 0, 0
	third := 0.0
	sent := make(map[string]float64)
	for _, e := range r.rec.all() {
		switch {
		case e.What == "sent":
			sent[e.ID] = e.T
		case e.What == "poison begins":
			if crashes++; crashes == 3 {
				third = e.T
			}
			if crashes > 3 && sent[e.ID] > third+settleWindow {
				late++
			}
		}
	}
	return r.verdict("BUDGET", late > allowed, "%d retries of the request reached servers later than %v s after it had crashed the third; %d crashes", late, settleWindow, crashes), nil
}
