package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/table"
)

// fetchTimeout bounds the fetch of a pair from a peer.
const fetchTimeout = 2 * time.Second

// fetchPair fetches the accepted pair of a peer and submits it to the acceptor. A peer without a newer pair is
// not an error.
func (e *Entry) fetchPair(ctx context.Context, m fleet.Member) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var newerThan table.Revision
	if active := e.tables.current(); active != nil {
		newerThan = active.pair.Revision
	}
	msg, err := e.node.FetchPair(ctx, m, newerThan)
	if err != nil {
		return Error.Wrap(err)
	}
	e.offerFromPeer(m.ID, msg)
	return nil
}

func (e *Entry) offerFromPeer(from fleet.EntryID, msg peer.PairMessage) {
	if msg.Revision == 0 {
		return
	}
	e.tables.offer(peerSourcePrefix+string(from), table.Snapshot{Revision: msg.Revision, Values: msg.Values})
}

// syncFromPeers fetches a pair with a higher revision from one of the peers that report it, if there are any.
func (e *Entry) syncFromPeers(ctx context.Context) {
	v := e.fleet.view()
	id, ok := e.pickHolder(e.sinceStart(), v)
	if !ok {
		return
	}
	e.background.Go(func() {
		defer e.pairFetches.done(id)
		m, ok := v.Member(id)
		if !ok {
			return
		}
		if err := e.fetchPair(ctx, m); err != nil && ctx.Err() == nil {
			e.Log.Warn().Str("event", "pairFetchFailed").Str("peer", string(id)).Err(err).Msg("could not fetch tables from a peer")
		}
	})
}

// pickHolder chooses the peer to fetch a newer pair from. Peers in the same failure domain are preferred, because links
// between failure domains are expensive. ok is false if no peer has a newer pair, or if none is to be asked now.
func (e *Entry) pickHolder(now time.Duration, v *fleet.View) (id fleet.EntryID, ok bool) {
	var sameDomain []fleet.EntryID
	for _, id := range v.Holders {
		if m, ok := v.Member(id); ok && m.FailureDomain == e.Settings.FailureDomain {
			sameDomain = append(sameDomain, id)
		}
	}
	behind := e.pairFetches.behind(now, e.revision(), len(v.Holders) > 0)
	if id, ok = e.pairFetches.pick(now, sameDomain, e.intN); ok {
		return id, true
	}
	if len(sameDomain) == 0 && behind < crossDomainFetchDelay && e.awaitsDomainHub(v) {
		return "", false
	}
	return e.pairFetches.pick(now, v.Holders, e.intN)
}

// crossDomainFetchDelay is how long an entry waits for a hub of its own failure domain to get a new pair before it
// fetches the pair from another domain. A hub takes about syncInterval and announces the pair at once.
const crossDomainFetchDelay = 500 * time.Millisecond

// awaitsDomainHub reports whether a hub of this entry's failure domain is expected to get new tables and to announce
// them. If all entries fetched them across failure domains from the few that read the store, the time that this takes would
// grow with the fleet.
func (e *Entry) awaitsDomainHub(v *fleet.View) bool {
	active := e.tables.current()
	return active != nil && !v.IsHub() && slices.Contains(active.shardDomains, e.Settings.FailureDomain)
}

const (
	// fetchHedgeDelay is the delay before another peer is asked in parallel. A live peer responds within
	// milliseconds.
	fetchHedgeDelay = 300 * time.Millisecond
	// maxFetches is the maximum number of concurrent fetches.
	maxFetches = 3
)

// pairFetches tracks the peers from which a pair is being fetched.
type pairFetches struct {
	mu        sync.Mutex
	pending   map[fleet.EntryID]bool
	lastStart time.Duration
	// behindSince is when a peer first had a newer pair than the active one, whose revision is behindRevision; 0 if none
	// has.
	behindSince    time.Duration
	behindRevision table.Revision
}

// behind returns how long a peer has had a newer pair than the active one without a change of the latter. newer says
// whether a peer has one now.
func (f *pairFetches) behind(now time.Duration, active table.Revision, newer bool) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !newer:
		f.behindSince = 0
		return 0
	case f.behindSince == 0 || f.behindRevision != active:
		f.behindSince, f.behindRevision = now, active
	}
	return now - f.behindSince
}

// pick chooses a random holder from which no fetch is pending. ok is false if there is none, or if it is too
// early to ask another peer. intN returns a random number in [0, n).
func (f *pairFetches) pick(now time.Duration, holders []fleet.EntryID, intN func(int) int) (id fleet.EntryID, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) >= maxFetches || len(f.pending) > 0 && now-f.lastStart < fetchHedgeDelay {
		return "", false
	}
	var candidates []fleet.EntryID
	for _, h := range holders {
		if !f.pending[h] {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	if f.pending == nil {
		f.pending = make(map[fleet.EntryID]bool)
	}
	id = candidates[intN(len(candidates))]
	f.pending[id], f.lastStart = true, now
	return id, true
}

func (f *pairFetches) done(id fleet.EntryID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, id)
}

// syncInterval is how often an entry checks whether a peer has a newer pair. A new pair is announced by
// heartbeats at once, so it usually reaches all entries of a group within this interval plus one heartbeat.
const syncInterval = 100 * time.Millisecond
