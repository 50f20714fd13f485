package main

import (
	"net/http"
	"time"
)

func init() { cases["decoded-slash"] = decodedSlash }

// decodedSlash: a version of the configuration adds a narrower route to another service.
func decodedSlash(r *rig) (bool, error) {
	routes := []route{
		{host, "r-status", "/status/", "safe", info, 2.5, 2},
		{host, "r-ledger", "/ledger/", "unsafe", ledger, 3, 2},
	}
	putConfig(r.store, 1, []string{info, ledger}, routes)
	r.addServers(info, 4, 40*time.Millisecond)
	r.addServers(ledger, 6, 40*time.Millisecond)
	if err := r.startFleet(6); err != nil {
		return false, err
	}
	c := newClient(r.rec, r.fleet, host, zones[0])
	// Both paths begin with /ledger/ and not with /ledger/notices/: the first lacks the last slash, and in the second an
	// escaped slash is no slash.
	const short, escaped = "/ledger/notices", "/ledger/notices%2F4711"
	send := func(i int) {
		switch i % 4 {
		case 0, 1:
			c.send(http.MethodGet, "/status/7", nil, 2500*time.Millisecond)
		case 2:
			c.send(http.MethodPost, short, []byte(`{"volume": 120}`), 3*time.Second)
		case 3:
			c.send(http.MethodPost, escaped, []byte(`{"volume": 120}`), 3*time.Second)
		}
	}
	traffic(20, 4*time.Second, send)
	if r.trouble {
		putConfig(r.store, 4, []string{info, ledger}, append(routes, route{host, "r-notice", "/ledger/notices/", "safe", info, 2.5, 2}))
	}
	traffic(20, 10*time.Second, send)
	wrong := func(path string) int {
		return r.rec.count(func(e event) bool { return e.What == "run" && e.Path == path && e.Note != ledger })
	}
	right := r.rec.count(func(e event) bool { return e.What == "run" && e.Method == http.MethodPost && e.Note == ledger })
	return r.verdict("ROUTE", wrong(short)+wrong(escaped) > 0, "%d requests with the path %s and %d with %s ran at %s, to which no version lets them go, and %d at %s",
		wrong(short), short, wrong(escaped), escaped, info, right, ledger), nil
}
