package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// node is a machine of the system with its one process.
type node struct {
	name, zone                       string
	front, ready, control, directory string
	internal                         int
	settings                         string
	process                          *exec.Cmd
	ended                            chan struct{}
}

// fleet is the system under test: the processes of the deploy file.
type fleet struct {
	rec   *record
	root  string
	dir   string
	store string
	run   []string
	nodes []*node
}

// zones are those of the small site.
var zones = []string{"donau-ost", "vils-tal", "rott-aue"}

// firstPort and lastPort bound the ports of the nodes. They lie below those that the kernel gives to outgoing connections.
const firstPort, lastPort = 12000, 31999

// freePort returns a port that is free for TCP and for UDP.
func freePort() int {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
		l.Close()
		if err == nil {
			u.Close()
			return port
		}
	}
}

// newFleet prepares n nodes, spread over the zones.
func newFleet(rec *record, root, dir, store string, n int) (*fleet, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(deploy)
	if m == nil {
		return nil, errors.New("no run line in deploy/system.toml")
	}
	f := &fleet{rec: rec, root: root, dir: dir, store: store, run: strings.Fields(string(m[1]))}
	for i := range n {
		at := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }
		zone := zones[i%len(zones)]
		f.nodes = append(f.nodes, &node{
			name: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), zone: zone,
			front: at(), ready: at(), control: at(), directory: at(), internal: freePort(),
		})
	}
	return f, nil
}

// template fills in platform/entry.settings as the platform does.
func (f *fleet) template(n *node, first bool) (string, error) {
	raw, err := os.ReadFile(filepath.Join(f.root, "platform", "entry.settings"))
	if err != nil {
		return "", err
	}
	text := string(raw)
	var seeds []string
	for _, s := range f.nodes[:min(3, len(f.nodes))] {
		seeds = append(seeds, fmt.Sprintf(`{"id": %q, "peerAddress": %q}`, s.control, s.control))
	}
	section := regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)
	text = section.ReplaceAllString(text, strings.Join(seeds, ", "))
	values := map[string]string{
		"listen.control|json": n.control, "listen.front|json": n.front, "listen.directory|json": n.directory, "listen.ready|json": n.ready,
		"node|json": n.name, "zone|json": n.zone, "platform.address|json": f.store,
	}
	for name, v := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", fmt.Sprintf("%q", v))
	}
	plain := map[string]string{
		"ip": "127.0.0.1", "internalPorts.0": fmt.Sprint(n.internal), "bounds.graceS|json": "6", "firstStart|json": fmt.Sprint(first),
		"limits.cpuShare|json": "0.32", "limits.cpuCores|json": "1", "limits.linkMbps|json": "1000.0",
		"bounds.retryBudgetRatio|json": "0.2", "bounds.retryBudgetSlack|json": "62",
	}
	for name, v := range plain {
		text = strings.ReplaceAll(text, "{{"+name+"}}", v)
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("unknown placeholder in the template of the settings: %s", text[strings.Index(text, "{{"):])
	}
	return text, nil
}

// start starts the process of a node.
func (f *fleet) start(n *node, first bool) error {
	text, err := f.template(n, first)
	if err != nil {
		return err
	}
	n.settings = filepath.Join(f.dir, n.name+".settings")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.process = exec.Command(filepath.Join(f.root, f.run[0]), f.run[1:]...)
	n.process.Dir = f.root
	n.process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"BILBERRYWOOD_NODE_FILE=" + n.settings, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true",
	}
	n.process.Stdout, n.process.Stderr = log, log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		err := p.Wait()
		f.rec.add(event{Who: n.name, What: "ended", Note: fmt.Sprint(err)})
		close(ended)
	}(n.process, n.ended)
	f.rec.add(event{Who: n.name, What: "started", Note: fmt.Sprintf("pid %d front %s", n.process.Process.Pid, n.front)})
	return nil
}

// signal sends a signal to the process of a node.
func (f *fleet) signal(n *node, s syscall.Signal) {
	f.rec.add(event{Who: n.name, What: "signal", Note: s.String()})
	_ = n.process.Process.Signal(s)
}

// startAll starts all nodes and waits until all are ready.
func (f *fleet) startAll() error {
	for _, n := range f.nodes {
		if err := f.start(n, true); err != nil {
			return err
		}
	}
	return f.awaitReady(15 * time.Second)
}

func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	client := http.Client{Timeout: time.Second}
	for _, n := range f.nodes {
		for {
			r, err := client.Get("http://" + n.ready + "/api/readiness")
			if err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			select {
			case <-n.ended:
				return fmt.Errorf("the process of %s has ended", n.name)
			default:
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %v", n.name, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// stopAll ends all processes that were started.
func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		if n.process != nil {
			_ = n.process.Process.Signal(syscall.SIGCONT)
			_ = n.process.Process.Kill()
		}
	}
	for _, n := range f.nodes {
		if n.process != nil {
			<-n.ended
		}
	}
}
