package quota

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// benchAccounts is the number of accounts used in a group of entries at the target size.
const benchAccounts = 14600

// newBench returns the state of an entry that owns all accounts and places their requests, after one request each.
func newBench() (l *Ledger, s *Spender, names []table.AccountName, now Time) {
	l, s = &Ledger{Tolerance: simTolerance}, &Spender{Tolerance: simTolerance}
	standing := Standing{Owned: make([]bool, 64), Links: []fleet.LinkCount{{Linked: 1, Known: 1, Self: true}}}
	for i := range standing.Owned {
		standing.Owned[i] = true
	}
	for ; now < 20*second; now += simTick {
		l.SetStanding(now, standing)
	}
	for i := range benchAccounts {
		names = append(names, table.AccountName(fmt.Sprintf("account-%06d", i)))
	}
	for _, name := range names {
		acquire(l, s, now, name)
	}
	return l, s, names, now
}

func acquire(l *Ledger, s *Spender, now Time, name table.AccountName) {
	_, w := s.Acquire(now, name, Limit{RatePerSecond: 10, Burst: 10}, now+second)
	for _, a := range s.Asks() {
		s.Answer(now, a, l.Take(now, name, a.Limit, a.Want))
	}
	if w != nil {
		<-w.Verdict
	}
}

// BenchmarkRequest is one request of an account whose owner is asked for it, both ends of the exchange.
func BenchmarkRequest(b *testing.B) {
	l, s, names, now := newBench()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%len(names) == 0 {
			now += second / 5
			l.standingAt = now
		}
		acquire(l, s, now, names[i%len(names)])
	}
}

// BenchmarkMemory reports the bytes of an account at the owner and at a spender together.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l, s, names, _ := newBench()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchAccounts, "B/account")
		runtime.KeepAlive(l)
		runtime.KeepAlive(s)
		runtime.KeepAlive(names)
	}
}
