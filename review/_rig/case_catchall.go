package main

import (
	"net/http"
	"time"
)

func init() { cases["catch-all"] = catchAll }

// catchAll: a version of the configuration moves a route to another service and adds a route for all other paths.
func catchAll(r *rig) (bool, error) {
	putConfig(r.store, 1, []string{info, ledger}, []route{
		{host, "r-status", "/status/", "safe", info, 2.5, 2},
		{host, "r-ledger", "/ledger/", "unsafe", ledger, 3, 2},
	})
	r.addServers(info, 4, 40*time.Millisecond)
	r.addServers(ledger, 6, 40*time.Millisecond)
	if err := r.startFleet(6); err != nil {
		return false, err
	}
	c := newClient(r.rec, r.fleet, host, zones[0])
	send := func(int) { c.send(http.MethodGet, "/status/7", nil, 2500*time.Millisecond) }
	traffic(20, 3*time.Second, send)
	next := []route{
		{host, "r-status", "/status/", "safe", ledger, 2.5, 2},
		{host, "r-ledger", "/ledger/", "unsafe", ledger, 3, 2},
	}
	if r.trouble {
		next = append(next, route{host, "r-rest", "/", "safe", info, 2.5, 2})
	}
	putConfig(r.store, 4, []string{info, ledger}, next)
	acknowledged := r.rec.now()
	traffic(20, 12*time.Second, send)
	const propagation = 2.0
	sent := make(map[string]float64)
	late, all := 0, 0
	for _, e := range r.rec.all() {
		switch {
		case e.Who == "client" && e.What == "sent":
			sent[e.ID] = e.T
		case e.What == "run" && sent[e.ID] > acknowledged+propagation:
			all++
			if e.Note == info {
				late++
			}
		}
	}
	return r.verdict("CONFIG", late > 0, "%d of %d requests that were sent later than %v s after the acknowledgement ran at the service of the older version", late, all, propagation), nil
}
