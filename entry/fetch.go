package entry

import (
	"context"
	"sync"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/table"
)

// fetchTimeout bounds the fetch of a pair from a peer.
const fetchTimeout = 2 * time.Second

// fetchFrom takes the accepted pair of a peer and offers it.
func (e *Entry) fetchFrom(ctx context.Context, m fleet.Member) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var than table.Revision
	if f := e.config.current(); f != nil {
		than = f.pair.Revision
	}
	msg, err := e.node.FetchPair(ctx, m, than)
	if err != nil {
		return Error.Wrap(err)
	}
	e.offerPeer(m.ID, msg)
	return nil
}

func (e *Entry) offerPeer(from fleet.EntryID, msg peer.PairMessage) {
	if msg.Revision == 0 {
		return
	}
	e.config.offer(peerSource+string(from), table.Snapshot{Revision: msg.Revision, Values: msg.Values})
}

// catchUp fetches a higher accepted pair from the peers that report it, if there are any.
func (e *Entry) catchUp(ctx context.Context) {
	v := e.fleet.view()
	var near []fleet.EntryID
	for _, id := range v.Holders {
		if m, ok := v.Member(id); ok && m.FailureDomain == e.Settings.FailureDomain {
			near = append(near, id)
		}
	}
	// Links between failure domains are dear.
	id, ok := e.fetches.next(e.sinceStart(), near, e.intN)
	if !ok {
		id, ok = e.fetches.next(e.sinceStart(), v.Holders, e.intN)
	}
	if !ok {
		return
	}
	e.background.Go(func() {
		defer e.fetches.done(id)
		m, ok := v.Member(id)
		if !ok {
			return
		}
		if err := e.fetchFrom(ctx, m); err != nil && ctx.Err() == nil {
			e.Log.Warn().Str("event", "pairFetchFailed").Str("peer", string(id)).Err(err).Msg("could not fetch tables from a peer")
		}
	})
}

const (
	// fetchPatience is how long one peer is asked alone. A pair comes within milliseconds from a peer that lives.
	fetchPatience = 300 * time.Millisecond
	// mostFetches bounds the peers that are asked at a time.
	mostFetches = 3
)

// fetches are the peers that are being asked for their pair.
type fetches struct {
	mu    sync.Mutex
	asked map[fleet.EntryID]bool
	last  time.Duration
}

// next chooses one of the holders that is not being asked, at random with intN; ok is false if there is none or it is
// too early to ask another.
func (f *fetches) next(now time.Duration, holders []fleet.EntryID, intN func(int) int) (id fleet.EntryID, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.asked) >= mostFetches || len(f.asked) > 0 && now-f.last < fetchPatience {
		return "", false
	}
	var free []fleet.EntryID
	for _, h := range holders {
		if !f.asked[h] {
			free = append(free, h)
		}
	}
	if len(free) == 0 {
		return "", false
	}
	if f.asked == nil {
		f.asked = make(map[fleet.EntryID]bool)
	}
	id = free[intN(len(free))]
	f.asked[id], f.last = true, now
	return id, true
}

func (f *fetches) done(id fleet.EntryID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.asked, id)
}

// catchUpEvery is how often an entry looks whether a peer has a newer pair. Heartbeats announce a
// new pair at once, so this and one heartbeat bound the spread inside a group.
const catchUpEvery = 100 * time.Millisecond
