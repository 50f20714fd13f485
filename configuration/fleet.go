package configuration

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// check returns every rule that the list breaks. A list with an invalid row is not used at all. If
// entries skipped different rows, they would disagree on the members of the fleet.
func (l FleetList) check() error {
	var g errs.Group
	seen := make(map[fleet.EntryID]bool, len(l.Entries))
	for i, e := range l.Entries {
		if e.ID == "" || seen[e.ID] {
			g.Add(Error.New("fleet list: row %d: id %q is empty or appears twice", i, e.ID))
		}
		seen[e.ID] = true
		for _, address := range []string{e.PeerAddress, e.CallerAddress} {
			if _, err := netip.ParseAddrPort(address); err != nil {
				g.Add(Error.New("fleet list: row %d: %v", i, err))
			}
		}
		if e.FailureDomain == "" {
			g.Add(Error.New("fleet list: row %d: failureDomain is empty", i))
		}
		if e.State != EntryLive && e.State != EntryLeaving {
			g.Add(Error.New("fleet list: row %d: unknown state %q", i, e.State))
		}
	}
	return g.Err()
}

// fleetListState is guarded by mu, which is held during a read so that reads don't overlap.
type fleetListState struct {
	mu   sync.Mutex
	last FleetList
	read bool
}

// pollFleet reads the fleet list every FleetInterval, with a jitter of ±20%, until ctx ends.
func (w *Watcher) pollFleet(ctx context.Context) {
	retryBackoff := w.newBackoff()
	for ctx.Err() == nil {
		err := w.readFleet(ctx)
		if ctx.Err() != nil {
			return
		}
		if w.recordResult(err) != nil {
			sleep(ctx, retryBackoff.next())
			continue
		}
		retryBackoff.reset()
		jitter := (w.random() - 0.5) * 0.4
		sleep(ctx, time.Duration(float64(w.FleetInterval)*(1+jitter)))
	}
}

// readFleet reads the fleet list and delivers it to OnFleet. A list with a lower revision than the last
// one comes from a stale replica of the service and is ignored.
func (w *Watcher) readFleet(ctx context.Context) error {
	l := &w.fleetList
	l.mu.Lock()
	defer l.mu.Unlock()
	list, err := w.Client.Fleet(ctx)
	if err != nil {
		return err
	}
	if l.read && list.Revision < l.last.Revision {
		w.recordStaleResponse(list.Revision, l.last.Revision)
		return nil
	}
	l.last, l.read = list, true
	// An unchanged list is delivered too: it is new evidence of which entries are absent.
	if w.OnFleet != nil {
		w.OnFleet(list)
	}
	return nil
}
