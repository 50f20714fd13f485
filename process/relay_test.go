//go:build process

package process

import (
	"net"
	"sync"
	"testing"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// relays stand in front of the peer sockets of all entries, so that a test can cut the path between
// two entries in one direction or in both.
type relays struct {
	t *testing.T

	mu sync.Mutex
	// fronts has one socket for each entry; real maps the entries' own sockets to their ids.
	fronts map[fleet.EntryID]*front
	real   map[string]fleet.EntryID
	// cuts has the directed pairs whose packets are dropped.
	cuts map[[2]fleet.EntryID]bool
	done sync.WaitGroup
}

// front is the address by which peers know an entry.
type front struct {
	id     fleet.EntryID
	socket *net.UDPConn
	real   *net.UDPAddr
	// backs has one socket for each source, so that answers find their way.
	backs map[string]*net.UDPConn
}

func newRelays(t *testing.T) *relays {
	return &relays{t: t, fronts: map[fleet.EntryID]*front{}, real: map[string]fleet.EntryID{}, cuts: map[[2]fleet.EntryID]bool{}}
}

// add opens the front of an entry that listens at behind and returns its address.
func (r *relays) add(id fleet.EntryID, behind string) string {
	r.t.Helper()
	address, err := net.ResolveUDPAddr("udp", behind)
	if err != nil {
		r.t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		r.t.Fatal(err)
	}
	f := &front{id: id, socket: socket, real: address, backs: map[string]*net.UDPConn{}}
	r.mu.Lock()
	r.fronts[id], r.real[behind] = f, id
	r.mu.Unlock()
	r.done.Go(func() { r.forward(f) })
	return socket.LocalAddr().String()
}

// forward passes packets of peers on to the entry behind f.
func (r *relays) forward(f *front) {
	buf := make([]byte, 65536)
	for {
		n, from, err := f.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		back := r.back(f, from)
		if back == nil || r.dropped(r.source(from), f.id) {
			continue
		}
		// A datagram that can't be written is lost, as on a network.
		_, _ = back.WriteToUDP(buf[:n], f.real)
	}
}

// back returns the socket for the packets of one source, and passes answers to it on.
func (r *relays) back(f *front, from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := f.backs[from.String()]; c != nil {
		return c
	}
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil
	}
	f.backs[from.String()] = c
	source := r.real[from.String()]
	r.done.Go(func() {
		buf := make([]byte, 65536)
		for {
			n, _, err := c.ReadFromUDP(buf)
			if err != nil {
				return
			}
			if !r.dropped(f.id, source) {
				_, _ = f.socket.WriteToUDP(buf[:n], from)
			}
		}
	})
	return c
}

func (r *relays) source(a *net.UDPAddr) fleet.EntryID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.real[a.String()]
}

func (r *relays) dropped(from, to fleet.EntryID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[[2]fleet.EntryID{from, to}]
}

// cut drops all packets from one entry to another; the reverse path stays.
func (r *relays) cut(from, to fleet.EntryID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[[2]fleet.EntryID{from, to}] = true
}

// split cuts two parts of the fleet off from each other in both directions.
func (r *relays) split(a, b []fleet.EntryID) {
	for _, x := range a {
		for _, y := range b {
			r.cut(x, y)
			r.cut(y, x)
		}
	}
}

// heal ends all cuts.
func (r *relays) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.cuts)
}

func (r *relays) close() {
	r.mu.Lock()
	for _, f := range r.fronts {
		_ = f.socket.Close()
		for _, b := range f.backs {
			_ = b.Close()
		}
	}
	r.mu.Unlock()
	r.done.Wait()
}
