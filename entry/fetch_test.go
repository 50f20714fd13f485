package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// Guards against late tables: if the peer that was asked first has just lost power, another one must be asked
// soon. An entry that waited for one of three peers once activated new tables only 2.4 s after they were
// acknowledged.
func TestFetchHedgesToAnotherPeer(t *testing.T) {
	is := is.New(t)
	var f pairFetches
	holders := []fleet.EntryID{"a", "b", "c", "d"}
	asked := make(map[fleet.EntryID]time.Duration)
	const span = 10 * time.Second
	for now := time.Duration(0); now < span; now += syncInterval {
		if id, ok := f.pick(now, holders, func(n int) int { return n - 1 }); ok {
			_, repeated := asked[id]
			is.True(!repeated) // the fetch from this peer is still pending
			asked[id] = now
		}
	}
	is.Equal(len(asked), maxFetches)
	is.True(asked["c"]-asked["d"] <= fetchHedgeDelay+syncInterval)
	f.done("d")
	id, ok := f.pick(span, holders, func(int) int { return 0 })
	is.True(ok)
	is.Equal(id, fleet.EntryID("a"))
	f = pairFetches{}
	_, ok = f.pick(0, nil, nil)
	is.True(!ok)
}
