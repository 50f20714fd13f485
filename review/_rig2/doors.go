package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["doors"] = doors }

// doors: a client that the operators don't control opens connections, sends a request on each whose body never comes, and
// then nothing more.
func doors(d *deployment, trouble bool) (bool, string, error) {
	const (
		host, prefix = "jepu9.example", "/lepu270/"
		crowd        = 3200
		calm         = 8 * time.Second
		lasts        = 50 * time.Second
		// ignored is how long after the crowd has come the answers of ordinary clients don't count yet.
		ignored = 35 * time.Second
	)
	// The connections of the crowd to all machines are this process's too.
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < 3*crowd+500 {
		return false, "", fmt.Errorf("%d open files are allowed, %d are needed (%v)", files.Cur, 3*crowd+500, err)
	}
	d.store.put("op/config", config(4, []route{{Host: host, Prefix: prefix, Kind: "safe", Service: "huvo11a", TimeoutS: 2.5, MaxAttempts: 2, Priority: 2}}, []string{"huvo11a"}))
	for i := range 6 {
		d.servers = append(d.servers, &server{id: fmt.Sprintf("i-7f3a91%02x", i), service: "huvo11a", zone: "donau-ost", slots: 4, queueLimit: 16, workTime: around(40 * time.Millisecond)})
	}
	if err := deploy(d, 3, []string{"donau-ost", "vils-tal", "rott-aue"}, "127.0.0.1"); err != nil {
		return false, "", err
	}
	if err := d.await(10*time.Second, func() bool { return d.owner(host) != nil }, "the directories name one machine"); err != nil {
		return false, "", err
	}
	var mu sync.Mutex
	got := map[string]map[string]int{}
	count := func(phase, what string) {
		mu.Lock()
		defer mu.Unlock()
		if got[phase] == nil {
			got[phase] = map[string]int{}
		}
		got[phase][what]++
	}
	start := time.Now()
	phase := func() string {
		switch t := time.Since(start); {
		case t < calm:
			return "before"
		case t < calm+ignored:
			return "at first"
		}
		return "later"
	}
	end := start.Add(calm + lasts)
	var clients sync.WaitGroup
	for n := range 12 {
		clients.Go(func() {
			m := d.machines[n%len(d.machines)]
			for i := 0; time.Now().Before(end); i++ {
				time.Sleep(time.Duration(150+rand.IntN(200)) * time.Millisecond)
				p := phase()
				c, err := dial(m.address("front"))
				if err != nil {
					count(p, "no connection")
					continue
				}
				id := fmt.Sprintf("%08x%08x", n, i)
				_ = c.send(http.MethodGet, host, prefix+id, "X-Request-Id: "+id+"\r\nX-Deadline-Ms: 2500\r\n", "")
				a, err := c.receive(http.MethodGet, 4*time.Second)
				if err != nil {
					count(p, "no answer")
				} else {
					count(p, fmt.Sprint(a.status))
				}
				_ = c.Close()
			}
		})
	}
	time.Sleep(calm)
	var open []net.Conn
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	if trouble {
		for _, m := range d.machines {
			for i := range crowd {
				if i%100 == 99 {
					// No haste: each request is read before many more come.
					time.Sleep(50 * time.Millisecond)
				}
				c, err := net.DialTimeout("tcp", m.address("directory"), 2*time.Second)
				if err != nil {
					return false, "", fmt.Errorf("%s takes no more connections: %w", m.name, err)
				}
				open = append(open, c)
				_, _ = io.WriteString(c, "GET /api/resolve?name="+host+"&region=niederbayern&zone=donau-ost HTTP/1.1\r\nHost: "+host+"\r\nContent-Length: 1\r\n\r\n")
			}
			d.record.line("%d connections to the machines are open, on each a request whose body doesn't come", len(open))
		}
	}
	for time.Now().Before(end) {
		time.Sleep(5 * time.Second)
		ready := 0
		for _, m := range d.machines {
			if m.ready() {
				ready++
			}
		}
		d.record.line("%d of %d machines say that they are ready", ready, len(d.machines))
	}
	clients.Wait()
	for _, p := range []string{"before", "at first", "later"} {
		d.record.line("ordinary clients %s: %v", p, got[p])
	}
	all := 0
	for _, n := range got["later"] {
		all += n
	}
	served := got["later"]["200"]
	return served*2 < all, fmt.Sprintf("from %v after the crowd has come %d of %d requests of ordinary clients got their answer", ignored, served, all), nil
}
