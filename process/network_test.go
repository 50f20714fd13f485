//go:build process

package process

import (
	"net"
	"sync"
	"testing"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// faultyNetwork forwards the packets between the peer sockets of the entries, so that a test can break
// the path between two entries in one direction or in both.
type faultyNetwork struct {
	t *testing.T

	mu sync.Mutex
	// proxies has one proxy for each entry; entryByAddress maps the entries' own socket addresses to
	// their ids.
	proxies        map[fleet.EntryID]*udpProxy
	entryByAddress map[string]fleet.EntryID
	// blocked has the directed pairs of entries whose packets are dropped.
	blocked map[[2]fleet.EntryID]bool
	readers sync.WaitGroup
}

// udpProxy listens at the address by which peers know an entry.
type udpProxy struct {
	id           fleet.EntryID
	socket       *net.UDPConn
	entryAddress *net.UDPAddr
	// upstreamSockets has one socket for each source address, so that replies can be returned to it.
	upstreamSockets map[string]*net.UDPConn
}

func newFaultyNetwork(t *testing.T) *faultyNetwork {
	return &faultyNetwork{t: t, proxies: map[fleet.EntryID]*udpProxy{}, entryByAddress: map[string]fleet.EntryID{}, blocked: map[[2]fleet.EntryID]bool{}}
}

// addEntry opens a proxy for the entry that listens at listen, and returns the proxy's address.
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

// forwardToEntry forwards packets from peers to the entry of proxy f.
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
		// A datagram that can't be written is lost, as in a real network.
		_, _ = upstream.WriteToUDP(buf[:n], f.entryAddress)
	}
}

// upstreamSocket returns the socket for the packets of one source and forwards replies to that source.
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

// block drops all packets from one entry to another; the reverse direction still works.
func (r *faultyNetwork) block(from, to fleet.EntryID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked[[2]fleet.EntryID{from, to}] = true
}

// partition breaks all paths between two parts of the fleet in both directions.
func (r *faultyNetwork) partition(a, b []fleet.EntryID) {
	for _, x := range a {
		for _, y := range b {
			r.block(x, y)
			r.block(y, x)
		}
	}
}

// restore makes all paths work again.
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
