package main

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

func init() { cases["notice-twice"] = noticeTwice }

// resetInstead resets the connection of a request in place of an answer.
func resetInstead(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// noticeTwice: servers lose the answers of requests that they ran, while clients send notices on an unsafe route.
func noticeTwice(r *rig) (bool, error) {
	putConfig(r.store, 1, []string{info, ledger}, []route{
		{host, "r-status", "/status/", "safe", info, 2.5, 2},
		{host, "r-ledger", "/ledger/", "unsafe", ledger, 3, 2},
		{host, "r-notice", "/ledger/notices/", "safe", ledger, 2.5, 2},
	})
	r.addServers(info, 4, 120*time.Millisecond)
	r.addServers(ledger, 10, 120*time.Millisecond)
	// The dose of answer_lost on a standard day of the small site: 0.6 of the servers lose the answers of 0.4 of the
	// requests that they ran, for 4 s.
	lost := r.windows(6*time.Second, 4*time.Second, 4*time.Second)
	for i, s := range r.servers {
		if s.service != ledger || i%5 >= 3 {
			continue
		}
		s.fault = func(w http.ResponseWriter, q *http.Request) bool {
			if !lost() || rand.Float64() >= 0.4 {
				return false
			}
			r.rec.add(event{Who: s.id, What: "answer lost", ID: q.Header.Get("X-Request-Id"), Path: q.RequestURI})
			resetInstead(w)
			return true
		}
	}
	if err := r.startFleet(6); err != nil {
		return false, err
	}
	c := newClient(r.rec, r.fleet, host, zones[0])
	traffic(60, 28*time.Second, func(i int) {
		switch i % 5 {
		case 0:
			c.send(http.MethodGet, "/status/7", nil, 2500*time.Millisecond)
		case 1:
			c.send(http.MethodGet, "/ledger/notices/4711", nil, 2500*time.Millisecond)
		case 2:
			c.send(http.MethodPost, "/ledger/correction", []byte(`{"volume": 1}`), 3*time.Second)
		default:
			// The prefix /ledger/notices/ does not begin this path, so the route is the unsafe /ledger/.
			c.send(http.MethodPost, "/ledger/notices", []byte(`{"volume": 120}`), 3*time.Second)
		}
	})
	runs := make(map[string]int)
	for _, e := range r.rec.all() {
		if e.What == "run" && e.Method == http.MethodPost {
			runs[e.ID]++
		}
	}
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	return r.verdict("TWICE", twice > 0, "%d of %d requests on the unsafe route ran more than once", twice, len(runs)), nil
}
