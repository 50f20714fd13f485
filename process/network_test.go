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
	// their IDs.
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
func (nw *faultyNetwork) addEntry(id fleet.EntryID, listen string) string {
	nw.t.Helper()
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		nw.t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		nw.t.Fatal(err)
	}
	p := &udpProxy{id: id, socket: socket, entryAddress: address, upstreamSockets: map[string]*net.UDPConn{}}
	nw.mu.Lock()
	nw.proxies[id], nw.entryByAddress[listen] = p, id
	nw.mu.Unlock()
	nw.readers.Go(func() { nw.forwardToEntry(p) })
	return socket.LocalAddr().String()
}

// forwardToEntry forwards packets from peers to the entry of proxy p.
func (nw *faultyNetwork) forwardToEntry(p *udpProxy) {
	buf := make([]byte, 65536)
	for {
		n, from, err := p.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		upstream := nw.upstreamSocket(p, from)
		if upstream == nil || nw.dropped(nw.source(from), p.id) {
			continue
		}
		// A datagram that can't be written is lost, as in a real network.
		_, _ = upstream.WriteToUDP(buf[:n], p.entryAddress)
	}
}

// upstreamSocket returns the socket for the packets of one source and forwards replies to that source.
func (nw *faultyNetwork) upstreamSocket(p *udpProxy, from *net.UDPAddr) *net.UDPConn {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if c := p.upstreamSockets[from.String()]; c != nil {
		return c
	}
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil
	}
	p.upstreamSockets[from.String()] = c
	source := nw.entryByAddress[from.String()]
	nw.readers.Go(func() {
		buf := make([]byte, 65536)
		for {
			n, _, err := c.ReadFromUDP(buf)
			if err != nil {
				return
			}
			if !nw.dropped(p.id, source) {
				_, _ = p.socket.WriteToUDP(buf[:n], from)
			}
		}
	})
	return c
}

func (nw *faultyNetwork) source(a *net.UDPAddr) fleet.EntryID {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.entryByAddress[a.String()]
}

func (nw *faultyNetwork) dropped(from, to fleet.EntryID) bool {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.blocked[[2]fleet.EntryID{from, to}]
}

// block drops all packets from one entry to another; the reverse direction still works.
func (nw *faultyNetwork) block(from, to fleet.EntryID) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.blocked[[2]fleet.EntryID{from, to}] = true
}

// partition breaks all paths between two parts of the fleet in both directions.
func (nw *faultyNetwork) partition(a, b []fleet.EntryID) {
	for _, x := range a {
		for _, y := range b {
			nw.block(x, y)
			nw.block(y, x)
		}
	}
}

// restore makes all paths work again.
func (nw *faultyNetwork) restore() {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	clear(nw.blocked)
}

func (nw *faultyNetwork) close() {
	nw.mu.Lock()
	for _, p := range nw.proxies {
		_ = p.socket.Close()
		for _, b := range p.upstreamSockets {
			_ = b.Close()
		}
	}
	nw.mu.Unlock()
	nw.readers.Wait()
}
