package memory

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testBudget is a budget on virtual time that records who was evicted.
type testBudget struct {
	Budget
	now     time.Duration
	evicted []string
}

func newTestBudget(limit Bytes, maxHolders int) *testBudget {
	b := &testBudget{}
	b.Limit, b.MaxHolders = limit, maxHolders
	b.Now = func() time.Duration { return b.now }
	return b
}

func (b *testBudget) open(name string) *Holder {
	return b.Open(func() { b.evicted = append(b.evicted, name) })
}

// Guards against newcomers that give way to those who hold most for longest.
func TestLargestAndLongestGivesWay(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(1<<20, 0)
	old := b.open("old")
	is.True(old.Grow(300 << 10))
	b.now = 10 * time.Second
	larger := b.open("larger")
	is.True(larger.Grow(600 << 10))
	b.now = 11 * time.Second
	newcomer := b.open("newcomer")
	is.True(newcomer.Grow(200 << 10))
	is.Equal(b.evicted, []string{"old"})
	is.True(!old.Received())
	is.True(newcomer.Received())
	old.Close()
	is.Equal(b.Used(), Bytes(800<<10))
}

// Guards against the eviction of requests that may have been passed on, and of small ones for which that makes no room.
func TestBusyHoldersStay(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(1<<20, 0)
	busy := b.open("busy")
	is.True(busy.Grow(1 << 20))
	is.True(busy.Received())
	b.now = time.Second
	small := b.open("small")
	is.True(small.Grow(SmallHolding))
	is.True(!b.open("large").Grow(SmallHolding + 1))
	is.Equal(len(b.evicted), 0)
	busy.Idle(0)
	is.Equal(b.Used(), SmallHolding)
}

// Guards against more connections than there are descriptors, and against the loss of idle ones while others send nothing.
func TestIdleConnectionsGiveWayLast(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(0, 8)
	for _, name := range []string{"idle", "idleLater"} {
		b.open(name).Idle(0)
		b.now += time.Second
	}
	for _, name := range []string{"1", "2", "3", "4", "5", "6"} {
		b.open(name)
		b.now += time.Second
	}
	b.open("newcomer")
	is.Equal(b.evicted, []string{"1", "2"})
}

// Guards against connections with a request that keep newcomers out: those that no target is running give way, first the one
// that has been there for longest, but not for memory. One that waits for its caller gives way too.
func TestBusyHoldersMakeRoomForNewcomers(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(1<<20, 8)
	open := make(map[string]*Holder)
	for _, name := range []string{"running", "awaitsCaller", "resumed", "waiting", "waitingLater", "6", "7", "8"} {
		h := b.open(name)
		is.True(h.Received())
		open[name] = h
		b.now += time.Second
	}
	for _, name := range []string{"running", "awaitsCaller", "resumed"} {
		is.True(open[name].Run())
	}
	is.True(open["awaitsCaller"].AwaitCaller())
	is.True(open["resumed"].AwaitCaller())
	open["resumed"].Resume()
	newcomer := b.open("newcomer")
	is.Equal(b.evicted, []string{"awaitsCaller", "waiting"})
	is.True(newcomer.Received())
	is.True(!open["waiting"].Run())
	open["awaitsCaller"].Resume()
	is.True(open["awaitsCaller"].Evicted())
	open["resumed"].Busy()
	is.True(!open["resumed"].AwaitCaller())

	is.True(open["waitingLater"].Grow(1 << 20))
	is.True(!newcomer.Grow(SmallHolding + 1))
	is.Equal(len(b.evicted), 2)
}

// Guards against connections that are only read to their end and outlast idle ones.
func TestAnsweredHoldersGiveWayFirst(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(0, 8)
	for _, name := range []string{"idle1", "idle2", "idle3", "idle4", "idle5", "idle6"} {
		b.open(name).Idle(0)
		b.now += time.Second
	}
	discards, lingers := b.open("discards"), b.open("lingers")
	is.True(discards.Received())
	discards.Discard()
	lingers.Linger()
	b.now += time.Second
	b.open("newcomer")
	is.Equal(len(b.evicted), 2)
	is.True(discards.Evicted())
	is.True(lingers.Evicted())
}

// Guards against charges that are lost or stay behind, and against holders beyond the limit.
func TestChargesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		b := newTestBudget(limit, 0)
		var open []*Holder
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			b.now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			if len(open) == 0 || rapid.IntRange(0, 4).Draw(t, "open") == 0 {
				open = append(open, b.open(""))
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "holder")
			h := open[i]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				h.Received()
			case 1:
				h.Receive()
			case 2:
				h.Idle(0)
			case 3:
				h.Close()
				open = append(open[:i], open[i+1:]...)
			case 4:
				h.Run()
			case 5:
				h.AwaitCaller()
			case 6:
				h.Discard()
			case 7:
				h.Linger()
			default:
				h.Grow(Bytes(rapid.IntRange(1, limit/2).Draw(t, "bytes")))
			}
			sum, small := Bytes(0), Bytes(0)
			for _, h := range open {
				sum += Bytes(h.bytes.Load())
				small += min(SmallHolding, Bytes(h.bytes.Load()))
			}
			if sum != b.Used() {
				t.Fatalf("%d bytes in use, holders have %d", b.Used(), sum)
			}
			if sum > limit*excessNum/excessDen+small {
				t.Fatalf("%d bytes in use, %d of them in small holdings", sum, small)
			}
		}
		for _, h := range open {
			h.Close()
		}
		if b.Used() != 0 || b.leaving.Load() != 0 || b.gone != 0 || len(b.holders) != 0 {
			t.Fatalf("left: %d used, %d leaving, %d gone, %d open", b.Used(), b.leaving.Load(), b.gone, len(b.holders))
		}
	})
}
