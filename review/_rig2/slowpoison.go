package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["slowpoison"] = slowPoison }

// slowPoison: an upload in chunks, of which the second comes some time after the first, crashes the servers that run it.
func slowPoison(d *deployment, trouble bool) (bool, string, error) {
	const (
		host, prefix = "jepu9.example", "/fiti832/ti23/"
		servers      = 10
		period       = 3 * time.Second
		backAfter    = 3 * time.Second
		lasts        = 60 * time.Second
	)
	// PAUSE is for comparison; the case uses the value here.
	pause := 400 * time.Millisecond
	if p, err := time.ParseDuration(os.Getenv("PAUSE")); err == nil {
		pause = p
	}
	settle := time.Duration(bounds["settleWindowS"] * float64(time.Second))
	d.store.put("op/config", config(4, []route{{Host: host, Prefix: prefix, Kind: "upload", Service: "kafi81c", TimeoutS: 3, MaxAttempts: 2, Priority: 1}}, []string{"kafi81c"}))
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	running := map[string]int{}
	cut := 0
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-7f3a91%02x", i), service: "kafi81c", zone: "donau-ost", slots: 4, queueLimit: 16, workTime: around(380 * time.Millisecond)}
		s.head = func(s *server, r *http.Request) bool {
			if !strings.HasPrefix(r.URL.Path, prefix+"unreadable") {
				return true
			}
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			d.record.line("arrival %d of the request that crashes servers, at %s", len(arrivals), s.id)
			mu.Unlock()
			if !trouble {
				return true
			}
			// It has begun to run it: the first part of the body crashes it.
			_, _ = r.Body.Read(make([]byte, 256))
			mu.Lock()
			crashes = append(crashes, time.Now())
			d.record.line("crash %d: %s, with %d other requests at work", len(crashes), s.id, running[s.id])
			cut += running[s.id]
			running[s.id] = 0
			mu.Unlock()
			s.crash()
			time.AfterFunc(backAfter, func() {
				if err := s.start("127.0.0.1"); err != nil {
					d.record.line("%s can't start again: %v", s.id, err)
				}
			})
			return false
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
		d.servers = append(d.servers, s)
	}
	if err := deploy(d, 3, []string{"donau-ost", "vils-tal", "rott-aue"}, "127.0.0.1"); err != nil {
		return false, "", err
	}
	if err := d.await(10*time.Second, func() bool { return d.owner(host) != nil }, "the directories name one machine"); err != nil {
		return false, "", err
	}
	owner := d.owner(host)
	time.Sleep(4 * time.Second)
	end := time.Now().Add(lasts)
	// upload sends a body in chunks of 500 bytes with pauses between them.
	upload := func(id, path string, chunks int, pause time.Duration) string {
		c, err := dial(owner.address("front"))
		if err != nil {
			return "no connection"
		}
		defer c.Close()
		if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n", path, host, id); err != nil {
			return "not sent"
		}
		got := make(chan string, 1)
		go func() {
			a, err := c.receive(http.MethodPost, 4*time.Second)
			if err != nil {
				got <- "no answer"
				return
			}
			got <- fmt.Sprint(a.status)
		}()
		for i := range chunks {
			if i > 0 {
				time.Sleep(pause)
			}
			if _, err := fmt.Fprintf(c, "1f4\r\n%s\r\n", strings.Repeat(fmt.Sprint(i), 500)); err != nil {
				return <-got
			}
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return <-got
	}
	var clients sync.WaitGroup
	served, lost := 0, 0
	for n := range 24 {
		clients.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				r := upload(fmt.Sprintf("%08x%08x", n+1, i), prefix+"survey", 2, 50*time.Millisecond)
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
			d.record.line("the request that crashes servers was sent: %s", upload(fmt.Sprintf("%016x", i), prefix+"unreadable", 2, pause))
			time.Sleep(period - pause)
		}
	})
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	d.record.line("other requests: %d served, %d not; %d were at work on servers that crashed", served, lost, cut)
	if len(crashes) < 3 {
		return false, fmt.Sprintf("%d servers crashed", len(crashes)), nil
	}
	late := 0
	for _, a := range arrivals {
		if a.After(crashes[2].Add(settle)) {
			late++
		}
	}
	return late > 3, fmt.Sprintf("%d servers crashed; %d retries reached servers later than settleWindowS after the third crash (at most 3 are allowed)", len(crashes), late), nil
}
