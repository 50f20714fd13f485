package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// cpuTime returns the CPU time that this process has used, for the cost of both ends together.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func reportCPU(b *testing.B, cpuAtStart time.Duration) {
	b.ReportMetric(float64((cpuTime()-cpuAtStart).Microseconds())/float64(b.N), "cpu-µs/op")
}

func sendRequest(b *testing.B, from *Node, to fleet.Member, body []byte) {
	var r io.Reader
	if len(body) > 0 {
		r = bytes.NewReader(body)
	}
	response, err := from.Forward(context.Background(), to, ForwardHeader{To: to.ID, Method: "POST", URI: "/v1/x"}, r)
	if err != nil {
		b.Error(err)
		return
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Error(err)
	}
}

// BenchmarkForward measures a forwarded request over loopback. With a concurrency of 1 it gives the added
// latency.
func BenchmarkForward(b *testing.B) {
	for _, concurrency := range []int{1, 8, 64} {
		for _, size := range []int{0, 4 << 10, 64 << 10} {
			b.Run(fmt.Sprintf("concurrency=%d/bytes=%d", concurrency, size), func(b *testing.B) {
				from, to := startNode(b, "a", &testHandler{}), startNode(b, "b", &testHandler{forward: echo})
				body := make([]byte, size)
				sendRequest(b, from, member(to), body)
				cpuAtStart := cpuTime()
				b.ResetTimer()
				tasks := make(chan struct{})
				var workers sync.WaitGroup
				for range concurrency {
					workers.Go(func() {
						for range tasks {
							sendRequest(b, from, member(to), body)
						}
					})
				}
				for range b.N {
					tasks <- struct{}{}
				}
				close(tasks)
				workers.Wait()
				b.StopTimer()
				reportCPU(b, cpuAtStart)
			})
		}
	}
}

// BenchmarkHeartbeat measures the CPU time of one heartbeat over QUIC, sender and receiver together, at about
// 50, 400 and 1,050 bytes.
func BenchmarkHeartbeat(b *testing.B) {
	for _, poison := range []int{0, 40, 110} {
		b.Run(fmt.Sprintf("fingerprints=%d", poison), func(b *testing.B) {
			h := &testHandler{heartbeats: make(chan fleet.Heartbeat, 1000)}
			from, to := startNode(b, "a", &testHandler{}), startNode(b, "b", h)
			if _, err := from.FetchPair(context.Background(), member(to), 7); err != nil {
				b.Fatal(err)
			}
			heartbeat := fleet.Heartbeat{
				From: "a", Incarnation: 1 << 60, LinksDigest: 1 << 60, Digest: 1 << 60, AcceptedRevision: 100_000,
			}
			heartbeat.Poison = make([]uint64, poison)
			for i := range heartbeat.Poison {
				heartbeat.Poison[i] = 1<<63 + uint64(i)
			}
			o := fleet.OutgoingHeartbeat{ID: "b", Address: to.LocalAddress(), Heartbeat: heartbeat}
			cpuAtStart := cpuTime()
			b.ResetTimer()
			for range b.N {
				o.Heartbeat.Sequence++
				from.SendHeartbeat(o)
				select {
				case <-h.heartbeats:
				case <-time.After(time.Second):
					b.Fatal("heartbeat was lost on loopback")
				}
			}
			b.StopTimer()
			reportCPU(b, cpuAtStart)
		})
	}
}

// BenchmarkQuota is one exchange of credit for a number of accounts.
func BenchmarkQuota(b *testing.B) {
	for _, accounts := range []int{1, 16} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			from, to := startNode(b, "a", &testHandler{}), startNode(b, "b", &testHandler{})
			var q QuotaRequest
			for i := range accounts {
				q.Accounts, q.Wanted = append(q.Accounts, table.AccountName(fmt.Sprint("account-", i))), append(q.Wanted, 4)
			}
			cpuAtStart := cpuTime()
			for b.Loop() {
				if _, err := from.RequestQuota(context.Background(), member(to), q); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(cpuTime()-cpuAtStart)/float64(b.N), "cpu-ns/op")
		})
	}
}
