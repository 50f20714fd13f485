// Command rig plays one case of the review: it starts stand-ins of the platform's store, servers, operator and clients,
// and the project's own program with the commands of the deploy file. All addresses are on loopback.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// limit is how long a case may run.
const limit = 110 * time.Second

// rig is what a case plays with.
type rig struct {
	rec     *record
	trouble bool
	store   *store
	fleet   *fleet
	servers []*server
	dir     string
	root    string
}

// cases maps the names of the cases to what they do. They report whether the rule was broken. The files of the cases
// add them.
var cases = map[string]func(*rig) (bool, error){}

func main() {
	code, err := run()
	if err != nil {
		fmt.Println("the case could not run:", err)
	}
	os.Exit(code)
}

func run() (int, error) {
	if len(os.Args) != 4 {
		return 2, fmt.Errorf("usage: rig CASE REPOSITORY RECORD")
	}
	play := cases[os.Args[1]]
	if play == nil {
		return 2, fmt.Errorf("no case %q", os.Args[1])
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		return 2, err
	}
	dir, err := os.MkdirTemp("", "bilberrywood-review-")
	if err != nil {
		return 2, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("settings and logs are in", dir)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		return 2, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 2, err
	}
	r := &rig{rec: rec, trouble: os.Getenv("TROUBLE") != "0", store: newStore(rec, l), dir: dir, root: root}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		broken, err := play(r)
		done <- result{broken, err}
	}()
	defer func() {
		if r.fleet != nil {
			r.fleet.stopAll()
		}
	}()
	select {
	case x := <-done:
		switch {
		case x.err != nil:
			return 2, x.err
		case x.broken:
			return 1, nil
		}
		return 0, nil
	case <-interrupted:
		return 2, fmt.Errorf("interrupted")
	case <-time.After(limit):
		return 2, fmt.Errorf("the case took longer than %v", limit)
	}
}

// windows returns a function that says whether a disruption is on: for the time on, from first, and again after each gap.
func (r *rig) windows(first, on, gap time.Duration) func() bool {
	start := time.Now().Add(first)
	return func() bool {
		t := time.Since(start)
		return r.trouble && t >= 0 && t%(on+gap) < on
	}
}

// addServers starts n servers of a service, spread over the zones.
func (r *rig) addServers(service string, n int, work time.Duration) {
	for i := range n {
		id := fmt.Sprintf("i-%s-%d", service, i+1)
		r.servers = append(r.servers, startServer(r.rec, r.store, id, service, zones[i%len(zones)], work))
	}
}

// startAttempts is how often a fleet is started. Another process may take a port between its choice and its use.
const startAttempts = 3

// startFleet starts a fleet of n nodes and waits until it is ready.
func (r *rig) startFleet(n int) error {
	var err error
	for range startAttempts {
		var f *fleet
		if f, err = newFleet(r.rec, r.root, r.dir, r.store.address, n); err != nil {
			return err
		}
		r.fleet = f
		if err = f.startAll(); err == nil {
			return nil
		}
		f.stopAll()
	}
	return err
}

// traffic calls send perSecond times a second for a time, each call in a goroutine, and waits for all.
func traffic(perSecond int, duration time.Duration, send func(i int)) {
	var all sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	end := time.After(duration)
	for i := 0; ; i++ {
		select {
		case <-end:
			all.Wait()
			return
		case <-ticker.C:
			all.Go(func() { send(i) })
		}
	}
}

// verdict prints what was seen, and notes it in the record.
func (r *rig) verdict(rule string, broken bool, format string, args ...any) bool {
	word := "held"
	if broken {
		word = "broken"
	}
	line := fmt.Sprintf("%s %s: %s", rule, word, fmt.Sprintf(format, args...))
	fmt.Println(line)
	r.rec.add(event{Who: "rig", What: "verdict", Note: line})
	return broken
}
