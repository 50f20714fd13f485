//go:build process

package process

import (
	"net"
	"sync"
	"testing"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// faultyNetwork stand in front of the peer sockets of all entries, so that a test can cut the path between
// two entries in one direction or in both.
type faultyNetwork struct {
	t *testing.T

	mu sync.Mutex
	// proxies has one socket for each entry; real maps the entries' own sockets to their ids.
	proxies        map[fleet.EntryID]*udpProxy
	entryByAddress map[string]fleet.EntryID
	// blocked has the directed pairs whose packets are dropped.
	blocked map[[2]fleet.EntryID]bool
	readers sync.WaitGroup
}

// udpProxy is the address by which peers know an entry.
type udpProxy struct {
	id           fleet.EntryID
	socket       *net.UDPConn
	entryAddress *net.UDPAddr
	// upstreamSockets has one socket for each source, so that answers find their way.
	upstreamSockets map[string]*net.UDPConn
}

func newFaultyNetwork(t *testing.T) *faultyNetwork {
	return &faultyNetwork{t: t, proxies: map[fleet.EntryID]*udpProxy{}, entryByAddress: map[string]fleet.EntryID{}, blocked: map[[2]fleet.EntryID]bool{}}
}

// addEntry opens the front of an entry that listens at behind and returns its address.
func (r *faultyNetwork) addEntry(id fleet.EntryID, listen string) string {
	r.t.Helper()
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		r.t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		r.t.Fatal(err)
	}
	f := &udpProxy{id: id, socket: socket, entryAddress: address, upstreamSockets: map[string]*net.UDPConn{}}
	r.mu.Lock()
	r.proxies[id], r.entryByAddress[listen] = f, id
	r.mu.Unlock()
	r.readers.Go(func() { r.forwardToEntry(f) })
	return socket.LocalAddr().String()
}

// forwardToEntry passes packets of peers on to the entry behind f.
func (r *faultyNetwork) forwardToEntry(f *udpProxy) {
	buf := make([]byte, 65536)
	for {
		n, from, err := f.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		upstream := r.upstreamSocket(f, from)
		if upstream == nil || r.dropped(r.source(from), f.id) {
			continue
		}
		// A datagram that can't be written is lost, as on a network.
		_, _ = upstream.WriteToUDP(buf[:n], f.entryAddress)
	}
}

// upstreamSocket returns the socket for the packets of one source, and passes answers to it on.
func (r *faultyNetwork) upstreamSocket(f *udpProxy, from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := f.upstreamSockets[from.String()]; c != nil {
		return c
	}
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil
	}
	f.upstreamSockets[from.String()] = c
	source := r.entryByAddress[from.String()]
	r.readers.Go(func() {
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

func (r *faultyNetwork) source(a *net.UDPAddr) fleet.EntryID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entryByAddress[a.String()]
}

func (r *faultyNetwork) dropped(from, to fleet.EntryID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blocked[[2]fleet.EntryID{from, to}]
}

// block drops all packets from one entry to another; the reverse path stays.
func (r *faultyNetwork) block(from, to fleet.EntryID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked[[2]fleet.EntryID{from, to}] = true
}

// partition cuts two parts of the fleet off from each other in both directions.
func (r *faultyNetwork) partition(a, b []fleet.EntryID) {
	for _, x := range a {
		for _, y := range b {
			r.block(x, y)
			r.block(y, x)
		}
	}
}

// restore ends all cuts.
func (r *faultyNetwork) restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.blocked)
}

func (r *faultyNetwork) close() {
	r.mu.Lock()
	for _, f := range r.proxies {
		_ = f.socket.Close()
		for _, b := range f.upstreamSockets {
			_ = b.Close()
		}
	}
	r.mu.Unlock()
	r.readers.Wait()
}
