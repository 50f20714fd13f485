package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// client is a sound client: it asks a node for addresses, keeps the answer for its time, and sends each attempt once.
type client struct {
	rec   *record
	fleet *fleet
	host  string
	zone  string
	http  http.Client

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

func newClient(rec *record, f *fleet, host, zone string) *client {
	dialer := net.Dialer{Timeout: time.Second}
	return &client{rec: rec, fleet: f, host: host, zone: zone, http: http.Client{
		Transport:     &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 64},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// resolve returns the address to use for the next request.
func (c *client) resolve() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.addresses[rand.IntN(len(c.addresses))], nil
	}
	for i, at := range rand.Perm(len(c.fleet.nodes)) {
		if i == 3 {
			break
		}
		addresses, ttl, err := c.ask(c.fleet.nodes[at])
		if err != nil || len(addresses) == 0 {
			continue
		}
		c.addresses, c.until = addresses, time.Now().Add(ttl)
		return addresses[rand.IntN(len(addresses))], nil
	}
	if len(c.addresses) > 0 {
		return c.addresses[rand.IntN(len(c.addresses))], nil
	}
	return "", errors.New("no node answers")
}

func (c *client) ask(n *node) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q := url.Values{"name": {c.host}, "region": {"niederbayern"}, "zone": {c.zone}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.directory+"/api/resolve?"+q.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer answer.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttlS"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&body); err != nil {
		return nil, 0, err
	}
	return body.Addresses, time.Duration(min(body.TTL, 5) * float64(time.Second)), nil
}

// answer is what a client got for one attempt.
type answer struct {
	id     string
	status int
	stamp  string
	body   []byte
	err    error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one attempt and waits for its answer.
func (c *client) send(method, path string, body []byte, deadline time.Duration) answer {
	a := answer{id: newID()}
	address, err := c.resolve()
	if err != nil {
		a.err = err
		return a
	}
	return c.sendTo(address, a.id, method, path, body, deadline)
}

// sendTo sends one attempt to an address.
func (c *client) sendTo(address, id, method, path string, body []byte, deadline time.Duration) answer {
	a := answer{id: id}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = onceReader{bytes.NewReader(body)}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		panic(err)
	}
	if body != nil {
		r.ContentLength = int64(len(body))
	}
	r.Host = c.host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.rec.add(event{Who: "client", What: "sent", ID: id, Method: method, Path: path, Note: "to " + address})
	// The transport may send a request again on its own if a kept connection was closed: only if nothing was read of it.
	answered, err := c.http.Do(r)
	if err == nil {
		defer answered.Body.Close()
		a.status, a.stamp = answered.StatusCode, answered.Header.Get("X-Server-Stamp")
		a.body, err = io.ReadAll(answered.Body)
	}
	a.err = err
	e := event{Who: "client", What: "answered", ID: id, Method: method, Path: path, Status: a.status, Stamp: a.stamp}
	if err != nil {
		e.What, e.Note = "failed", err.Error()
	} else if a.stamp == "" {
		e.Note = string(a.body)
	}
	c.rec.add(e)
	if err == nil && a.status == http.StatusOK && !bytes.Contains(a.body, []byte("request "+id)) {
		c.rec.add(event{Who: "client", What: "wrong answer", ID: id, Note: string(a.body)})
	}
	return a
}

// onceReader keeps the transport from sending a body again.
type onceReader struct{ io.Reader }
