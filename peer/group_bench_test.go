package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// udpOverhead is the size of the IPv4 and UDP headers of a packet in bytes.
const udpOverhead = 28

// countingSocket counts the packets and bytes that a node sends.
type countingSocket struct {
	net.PacketConn
	packets, bytes *atomic.Int64
}

func (s countingSocket) WriteTo(b []byte, to net.Addr) (int, error) {
	s.packets.Add(1)
	s.bytes.Add(int64(len(b) + udpOverhead))
	return s.PacketConn.WriteTo(b, to)
}

// groupEntry drives a Membership over a Node, as the entry process does.
type groupEntry struct {
	*Node
	mu         sync.Mutex
	membership *fleet.Membership
	startedAt  time.Time
}

func (g *groupEntry) receive(h fleet.Heartbeat) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.membership.Receive(time.Since(g.startedAt), h)
}

func (g *groupEntry) tick() *fleet.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, o := range g.membership.Tick(time.Since(g.startedAt)) {
		g.SendHeartbeat(o)
	}
	return g.membership.View(time.Since(g.startedAt))
}

// run ticks until ctx ends, and sets linked to the number of two-way links in the last view.
func (g *groupEntry) run(ctx context.Context, linked *atomic.Int64) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			links := 0
			for _, m := range g.tick().Members {
				if m.Link == fleet.LinkTwoWay {
					links++
				}
			}
			linked.Store(int64(links))
		}
	}
}

func startGroup(b *testing.B, size int, packets, bytes *atomic.Int64) []*groupEntry {
	b.Helper()
	dir := b.TempDir()
	var ids []fleet.EntryID
	for i := range size {
		ids = append(ids, fleet.EntryID(fmt.Sprintf("donau-ost-%03d", i)))
	}
	if err := WriteDevelopmentCertificates(dir, ids); err != nil {
		b.Fatal(err)
	}
	wrap := func(c net.PacketConn) net.PacketConn { return countingSocket{c, packets, bytes} }
	var group []*groupEntry
	var seeds []fleet.Seed
	for i, id := range ids {
		g := &groupEntry{startedAt: time.Now()}
		g.Node = &Node{ID: id, Address: "127.0.0.1:0", TLS: DevelopmentTLSFiles(dir, id), WrapSocket: wrap}
		g.Handler = &heartbeatReceiver{entry: g}
		g.membership = &fleet.Membership{
			ID: id, Incarnation: fleet.Incarnation(i + 1), Random: rand.New(rand.NewPCG(uint64(i), 1)),
		}
		if err := g.Start(); err != nil {
			b.Fatal(err)
		}
		g.membership.PeerAddress = g.LocalAddress()
		seeds = append(seeds, fleet.Seed{ID: id, PeerAddress: g.LocalAddress()})
		group = append(group, g)
	}
	for _, g := range group {
		g.membership.Seeds = seeds
	}
	return group
}

// heartbeatReceiver passes heartbeats to a groupEntry; it handles no other messages.
type heartbeatReceiver struct {
	testHandler
	entry *groupEntry
}

func (h *heartbeatReceiver) Heartbeat(b fleet.Heartbeat) { h.entry.receive(b) }

// BenchmarkGroup runs a complete group over loopback for groupTime. It reports the CPU time, packets and bytes
// that each node needs for heartbeats in a settled group.
func BenchmarkGroup(b *testing.B) {
	const groupTime = 4 * time.Second
	for _, size := range []int{11, 22, 44} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			var packets, bytes atomic.Int64
			group := startGroup(b, size, &packets, &bytes)
			ctx, stop := context.WithCancel(context.Background())
			var tasks sync.WaitGroup
			linked := make([]atomic.Int64, size)
			for i, g := range group {
				tasks.Go(func() { g.run(ctx, &linked[i]) })
			}
			settled := func() bool {
				for i := range linked {
					if linked[i].Load() < int64(size) {
						return false
					}
				}
				return true
			}
			startedAt := time.Now()
			for !settled() && time.Since(startedAt) < 10*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			settledAfter := time.Since(startedAt)
			time.Sleep(3 * time.Second) // until superseded connections are closed
			packets.Store(0)
			bytes.Store(0)
			cpu := cpuTime()
			time.Sleep(groupTime)
			perNode := float64(size) * groupTime.Seconds()
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/perNode, "cpu-µs/s/node")
			b.ReportMetric(float64(packets.Load())/perNode, "packets/s/node")
			b.ReportMetric(float64(bytes.Load())/perNode, "bytes/s/node")
			b.ReportMetric(settledAfter.Seconds(), "s-until-settled")
			stop()
			tasks.Wait()
			for _, g := range group {
				_ = g.Close()
			}
		})
	}
}
