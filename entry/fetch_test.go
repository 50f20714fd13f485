package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// Guards against tables that come late because the peer that was asked for them has just lost its power (seen: a
// version in force 2.4 s after its acknowledgement at an entry that waited for one of three peers): another is asked soon.
func TestAnotherPeerIsAsked(t *testing.T) {
	is := is.New(t)
	var f fetches
	holders := []fleet.EntryID{"a", "b", "c", "d"}
	asked := make(map[fleet.EntryID]time.Duration)
	const span = 10 * time.Second
	for now := time.Duration(0); now < span; now += catchUpEvery {
		if id, ok := f.next(now, holders, func(n int) int { return n - 1 }); ok {
			_, again := asked[id]
			is.True(!again) // the peer still may answer
			asked[id] = now
		}
	}
	is.Equal(len(asked), mostFetches)
	is.True(asked["c"]-asked["d"] <= fetchPatience+catchUpEvery)
	f.done("d")
	id, ok := f.next(span, holders, func(int) int { return 0 })
	is.True(ok)
	is.Equal(id, fleet.EntryID("a"))
	f = fetches{}
	_, ok = f.next(0, nil, nil)
	is.True(!ok)
}
